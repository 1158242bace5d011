"""The process beside a rank that sends it orders and may coordinate its group."""

from mustardfront.programs.agent._main import AgentSettings, run_agent
from mustardfront.programs.agent._services import AgentServices

__all__ = ["AgentServices", "AgentSettings", "run_agent"]

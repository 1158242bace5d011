"""The process beside a rank that sends it orders and may coordinate its group."""

from mustardfront.programs.agent._main import AgentServices, AgentSettings, run_agent

__all__ = ["AgentServices", "AgentSettings", "run_agent"]

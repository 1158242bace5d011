"""The entry process for deployments that call upstreams directly over HTTP."""

from mustardfront.programs.gateway._dialect import Dialect
from mustardfront.programs.gateway._main import GatewaySettings, run_gateway

__all__ = ["Dialect", "GatewaySettings", "run_gateway"]

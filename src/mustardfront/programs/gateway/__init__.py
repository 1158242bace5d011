"""The entry process for deployments that call upstreams directly over HTTP."""

from mustardfront.programs.gateway._header_names import HeaderNames
from mustardfront.programs.gateway._main import run_gateway
from mustardfront.programs.gateway._settings import GatewaySettings, LiveSettings

__all__ = ["GatewaySettings", "HeaderNames", "LiveSettings", "run_gateway"]

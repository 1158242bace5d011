"""Settings of a gateway process, and their changes while it runs."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field, replace

from mustardfront import events
from mustardfront.results import Err, Ok, Result


@dataclass(frozen=True, slots=True)
class GatewaySettings:
    """Settings of a gateway process; addresses are (IP, port).

    ``deregister_s`` is how long the platform's load balancer may send new connections
    after the readiness check fails. ``grace_s`` is the time from SIGTERM to SIGKILL.
    Requests with a key are refused once the view of the configuration store is older
    than ``view_age_max_s`` (None: never). Within the window of the retry budget, all
    entries together may retry the share ``retry_ratio`` of a service's requests, plus
    ``retry_extra`` requests. ``regions`` are the regions of places. Entries report
    their loads to each other on ``peer_listen`` (None: they do not). ``memory_bytes``
    and ``descriptors`` are the process's limits (None: not known).
    """

    host: str
    place: str
    listen: tuple[str, int]
    ready_listen: tuple[str, int]
    metrics_listen: tuple[str, int]
    deregister_s: float
    grace_s: float
    view_age_max_s: float | None
    retry_ratio: float
    retry_extra: float
    regions: Mapping[str, str] = field(default_factory=dict)
    peer_listen: tuple[str, int] | None = None
    memory_bytes: int | None = None
    descriptors: int | None = None


class LiveSettings:
    """The settings in force; ``reload`` reads them again when SIGHUP asks for it.

    Addresses, host and place stay as they were at the start.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        read: Callable[[], Result[GatewaySettings]] | None = None,
    ) -> None:
        self.current = settings
        self._read = read

    def reload_if_changed(self) -> None:
        """Read the settings again, and take them over if they differ."""
        if self._read is None:
            return
        found = self._read()
        if isinstance(found, Ok) and found.value != self.current:
            self.reload("start")

    def reload(self, cause: str) -> None:
        """Read the settings again; keep those in force if they cannot be used."""
        if self._read is None:
            events.log(events.Event.SETTINGS_KEPT, cause=cause)
            return
        found = self._read()
        if isinstance(found, Err):
            events.log(
                events.Event.SETTING_REFUSED, code=int(found.code), text=found.text
            )
            return
        new = found.value
        self.current = replace(
            self.current,
            deregister_s=new.deregister_s,
            grace_s=new.grace_s,
            view_age_max_s=new.view_age_max_s,
            retry_ratio=new.retry_ratio,
            retry_extra=new.retry_extra,
        )
        events.log(
            events.Event.SETTINGS_RELOADED,
            cause=cause,
            grace_s=new.grace_s,
            view_age_max_s=new.view_age_max_s,
            retry_ratio=new.retry_ratio,
            retry_extra=new.retry_extra,
        )

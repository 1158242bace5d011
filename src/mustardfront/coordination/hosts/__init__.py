"""The platform's host list, as this process last saw it."""

from mustardfront.coordination.hosts._list import (
    Fetch,
    HostEntry,
    HostList,
    HostPage,
    parse_hosts,
)

__all__ = ["Fetch", "HostEntry", "HostList", "HostPage", "parse_hosts"]

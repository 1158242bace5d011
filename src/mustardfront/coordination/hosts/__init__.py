"""The platform's host list, as this process last read it."""

from mustardfront.coordination.hosts._list import (
    Fetch,
    HostEntry,
    HostList,
    HostListResponse,
    parse_hosts,
)

__all__ = ["Fetch", "HostEntry", "HostList", "HostListResponse", "parse_hosts"]

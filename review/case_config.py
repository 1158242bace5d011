"""The operator's configuration of a small deployment."""

from __future__ import annotations

from typing import Any

HOST = "desk.example"
KEY = "n2ctnfzs989anu6wsjnb"
TENANT = "hule930"
# The platform's figures for `nsg-quotes`, as `fleetbench wire` prints them.
ENGINE = {
    "slots": 6,
    "kvCapacity": 247000,
    "kvBytes": 70272,
    "linkMbps": 92000.0,
    "stride": 6,
    "models": [{"name": "m"}],
    "step_ms": 4.84,
    "per_seq_ms": 0.724,
    "context_per_k": 0.022,
    "read_per_s": 74800.0,
    "pairs_per_m": 0.232,
    "chunk": 512,
    "report_lag_ms": 200.0,
    "usual": {"prompt": 835, "answer": 159},
    "sets": 6,
    "experts": 64,
    "placements": 11,
    "spare": 4,
    "expertMb": 1700.0,
    "expertShare": 0.85,
    "form_ms": 600.0,
}


def _route(prefix: str, kind: str, service: str, **fields: Any) -> dict[str, Any]:
    route = {
        "name": f"r-{prefix}",
        "host": HOST,
        "prefix": f"/{prefix}/",
        "kind": kind,
        "service": service,
        "timeoutMs": 1200,
        "targetLatencyMs": 150,
        "priority": 2,
        "maxAttempts": 1,
        "anonymous": False,
    }
    return {**route, **fields}


def config() -> dict[str, Any]:
    """Return a configuration with the routes and services of the quote desk."""
    streams = {
        "timeoutMs": 8000,
        "targetLatencyMs": 402,
        "targetGapMs": 120,
        "maxAttempts": 2,
        "resumable": True,
        "sticky": True,
        "priority": 1,
    }
    return {
        "version": 7,
        "routes": [
            _route("draft", "streaming", "net-writer", **streams),
            _route("book", "non_idempotent", "member-ledger"),
            _route("look", "idempotent", "member-ledger", maxAttempts=2),
        ],
        "services": [
            {
                "name": "net-writer",
                "healthPath": "/healthz",
                "maxConnections": 348,
                "protocol": "h1",
                "tls": False,
                "engine": ENGINE,
            },
            {
                "name": "member-ledger",
                "healthPath": "/healthz",
                "maxConnections": 100,
                "protocol": "h1",
                "tls": False,
            },
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": TENANT, "apiKeys": [KEY], "priority": 1}],
    }

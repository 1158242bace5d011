"""Settings in flags and environment variables, checked at start."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import Any, TypeVar

import click

from mustardfront.results import Err, Ok, Result

F = TypeVar("F", bound=Callable[..., Any])

ENV_PREFIX = "MUSTARDFRONT_"
KEY_MIN_BYTES = 16


class _Checked(click.ParamType[Any]):
    """A click type whose error names the flag, variable, value and what is allowed."""

    def __init__(self, name: str, parse: Callable[[str], Any], allowed: str) -> None:
        self.name = name
        self._parse = parse
        self._allowed = allowed

    def convert(
        self,
        value: Any,
        param: click.Parameter | None,
        ctx: click.Context | None,
    ) -> Any:
        """Parse ``value`` or end the program with exit code 2 and a full message."""
        if not isinstance(value, str):
            return value
        try:
            return self._parse(value)
        except (ValueError, OSError) as exc:
            flag = param.opts[0] if param is not None else self.name
            variable = env_name(flag)
            self.fail(
                f"{flag} (variable {variable}) has the value {value!r}: {exc};"
                f" allowed: {self._allowed}",
                param,
                ctx,
            )


def env_name(flag: str) -> str:
    """Return the environment variable of a flag: ``--kv`` is ``MUSTARDFRONT_KV``."""
    return ENV_PREFIX + flag.lstrip("-").replace("-", "_").upper()


def parse_address(value: str) -> tuple[str, int]:
    """Return (host IP, port) of ``"IP:PORT"``; raise ValueError when it is not one."""
    import ipaddress

    host, separator, port = value.rpartition(":")
    if not separator or not port.isdigit() or int(port) > 65_535:
        raise ValueError("not an IP address and a port")
    return str(ipaddress.ip_address(host.strip("[]"))), int(port)


def check_address(value: str) -> Result[tuple[str, int]]:
    """Return the address of ``"IP:PORT"`` as an outcome."""
    from mustardfront.codes import Code

    try:
        return Ok(parse_address(value))
    except ValueError as exc:
        return Err(Code.SETTING_INVALID, f"address {value!r}: {exc}")


def _parse_url(value: str) -> str:
    if not value.startswith("http://"):
        raise ValueError("not an http URL")
    parse_address(value.removeprefix("http://").rstrip("/"))
    return value.rstrip("/")


def _parse_any_url(value: str) -> str:
    if value.startswith("https://"):
        parse_address(value.removeprefix("https://").rstrip("/"))
        return value.rstrip("/")
    return _parse_url(value)


def _parse_tls_file(value: str) -> str:
    import ssl

    # A wrong file is an error now and not at the first connection.
    ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER).load_cert_chain(value)
    return value


def _parse_ca_file(value: str) -> str:
    import ssl

    ssl.create_default_context(cafile=value)
    return value


def _parse_name(value: str) -> str:
    if not value or not all(char.isalnum() or char in "-_." for char in value):
        raise ValueError("not a name")
    return value


def _parse_key_file(value: str) -> bytes:
    key = Path(value).read_bytes().strip()
    if len(key) < KEY_MIN_BYTES:
        raise ValueError(f"the file holds {len(key)} bytes")
    return key


ADDRESS = _Checked("address", parse_address, "IP:PORT, port 0 to 65535")
URL = _Checked("url", _parse_url, "http://IP:PORT")
HTTPS_URL = _Checked("url", _parse_any_url, "http://IP:PORT or https://IP:PORT")
TLS_FILE = _Checked(
    "file", _parse_tls_file, "a readable PEM file with a certificate and its key"
)
CA_FILE = _Checked("file", _parse_ca_file, "a readable PEM file with certificates")
NAME = _Checked("name", _parse_name, "letters, digits, '-', '_' and '.'")
KEY_FILE = _Checked(
    "file", _parse_key_file, f"a readable file of at least {KEY_MIN_BYTES} bytes"
)


def checked(
    name: str, parse: Callable[[str], Any], allowed: str
) -> click.ParamType[Any]:
    """Return a type for what ``parse`` takes without a ValueError or an OSError."""
    return _Checked(name, parse, allowed)


def whole_number(minimum: int, maximum: int) -> click.ParamType[Any]:
    """Return a type for whole numbers from ``minimum`` to ``maximum``."""

    def parse(value: str) -> int:
        number = int(value)
        if not minimum <= number <= maximum:
            raise ValueError("out of range")
        return number

    return _Checked("integer", parse, f"a whole number from {minimum} to {maximum}")


def decimal(minimum: float, maximum: float) -> click.ParamType[Any]:
    """Return a type for decimal numbers from ``minimum`` to ``maximum``."""

    def parse(value: str) -> float:
        number = float(value)
        if not minimum <= number <= maximum:
            raise ValueError("out of range")
        return number

    return _Checked("number", parse, f"a number from {minimum} to {maximum}")


def setting(
    flag: str, kind: click.ParamType[Any], help_text: str, default: Any = None
) -> Callable[[F], F]:
    """Return a click option with a variable; it is required when it has no default."""
    return click.option(
        flag,
        type=kind,
        envvar=env_name(flag),
        show_envvar=True,
        required=default is None,
        default=default,
        show_default=default is not None,
        help=help_text,
    )


def tls_setting(function: F) -> F:
    """Add the optional setting that makes a program serve HTTPS."""
    return click.option(
        "--tls-file",
        type=TLS_FILE,
        envvar=env_name("--tls-file"),
        show_envvar=True,
        help="PEM file with certificate and key; without it HTTP is served plain.",
    )(function)


def common_settings(function: F) -> F:
    """Add the settings that every long-running program takes."""
    for option in reversed(
        (
            setting("--peer-listen", ADDRESS, "Address for the other processes."),
            setting("--host", NAME, "Name of this host."),
            setting("--place", NAME, "Place (availability zone) of this host."),
            setting("--kv", URL, "The platform's key-value service."),
            setting("--host-list", URL, "The platform's host list."),
            setting("--key-file", KEY_FILE, "File with the key shared by all peers."),
        )
    ):
        function = option(function)
    return function

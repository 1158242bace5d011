"""Settings from flags and environment variables, validated at start."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import Any, TypeVar

import click

from mustardfront.results import Err, Ok, Result

F = TypeVar("F", bound=Callable[..., Any])

ENV_PREFIX = "MUSTARDFRONT_"
KEY_MIN_BYTES = 16


class _ParsedParam(click.ParamType[Any]):
    """A click type whose error has the flag, variable, value and allowed values."""

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
        """Parse ``value``; on failure click prints the error and exits with code 2."""
        if not isinstance(value, str):
            return value
        try:
            return self._parse(value)
        except (ValueError, OSError) as exc:
            flag = param.opts[0] if param is not None else self.name
            variable = env_name(flag)
            self.fail(
                f"{flag} (environment variable {variable}) has the value {value!r}:"
                f" {exc}; allowed: {self._allowed}",
                param,
                ctx,
            )


def env_name(flag: str) -> str:
    """Return the environment variable of a flag: ``--kv`` is ``MUSTARDFRONT_KV``."""
    return ENV_PREFIX + flag.lstrip("-").replace("-", "_").upper()


def parse_address(value: str) -> tuple[str, int]:
    """Return the IP address and port of ``"IP:PORT"``, or raise ValueError."""
    import ipaddress

    host, separator, port = value.rpartition(":")
    if not separator or not port.isdigit() or int(port) > 65_535:
        raise ValueError("not of the form IP:PORT")
    return str(ipaddress.ip_address(host.strip("[]"))), int(port)


def check_address(value: str) -> Result[tuple[str, int]]:
    """Return the IP address and port of ``"IP:PORT"``, or Err(SETTING_INVALID)."""
    from mustardfront.codes import Code

    try:
        return Ok(parse_address(value))
    except ValueError as exc:
        return Err(Code.SETTING_INVALID, f"address {value!r}: {exc}")


def _parse_http_url(value: str) -> str:
    if not value.startswith("http://"):
        raise ValueError("not an http URL")
    parse_address(value.removeprefix("http://").rstrip("/"))
    return value.rstrip("/")


def _parse_http_or_https_url(value: str) -> str:
    if value.startswith("https://"):
        parse_address(value.removeprefix("https://").rstrip("/"))
        return value.rstrip("/")
    return _parse_http_url(value)


def _parse_tls_file(value: str) -> str:
    import ssl

    # Report an unusable file at start instead of at the first connection.
    ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER).load_cert_chain(value)
    return value


def _parse_ca_file(value: str) -> str:
    import ssl

    ssl.create_default_context(cafile=value)
    return value


def _parse_name(value: str) -> str:
    if not value or not all(char.isalnum() or char in "-_." for char in value):
        raise ValueError("empty or with other characters")
    return value


def _parse_key_file(value: str) -> bytes:
    key = Path(value).read_bytes().strip()
    if len(key) < KEY_MIN_BYTES:
        raise ValueError(f"the key has only {len(key)} bytes")
    return key


ADDRESS = _ParsedParam("address", parse_address, "IP:PORT, port 0 to 65535")
URL = _ParsedParam("url", _parse_http_url, "http://IP:PORT")
HTTP_OR_HTTPS_URL = _ParsedParam(
    "url", _parse_http_or_https_url, "http://IP:PORT or https://IP:PORT"
)
TLS_FILE = _ParsedParam(
    "file", _parse_tls_file, "a readable PEM file with a certificate and its key"
)
CA_FILE = _ParsedParam("file", _parse_ca_file, "a readable PEM file with certificates")
NAME = _ParsedParam("name", _parse_name, "letters, digits, '-', '_' and '.'")
KEY_FILE = _ParsedParam(
    "file",
    _parse_key_file,
    f"a readable file with a key of at least {KEY_MIN_BYTES} bytes",
)


def make_param_type(
    name: str, parse: Callable[[str], Any], allowed: str
) -> click.ParamType[Any]:
    """Return a click type; ``parse`` raises ValueError or OSError to refuse a value."""
    return _ParsedParam(name, parse, allowed)


def whole_number(minimum: int, maximum: int) -> click.ParamType[Any]:
    """Return a click type for whole numbers from ``minimum`` to ``maximum``."""

    def parse(value: str) -> int:
        number = int(value)
        if not minimum <= number <= maximum:
            raise ValueError("out of range")
        return number

    return _ParsedParam("integer", parse, f"a whole number from {minimum} to {maximum}")


def decimal(minimum: float, maximum: float) -> click.ParamType[Any]:
    """Return a click type for decimal numbers from ``minimum`` to ``maximum``."""

    def parse(value: str) -> float:
        number = float(value)
        if not minimum <= number <= maximum:
            raise ValueError("out of range")
        return number

    return _ParsedParam("number", parse, f"a number from {minimum} to {maximum}")


def setting(
    flag: str, param_type: click.ParamType[Any], help_text: str, default: Any = None
) -> Callable[[F], F]:
    """Return a click option that can also be set by its environment variable.

    It is required when it has no default.
    """
    return click.option(
        flag,
        type=param_type,
        envvar=env_name(flag),
        show_envvar=True,
        required=default is None,
        default=default,
        show_default=default is not None,
        help=help_text,
    )


def tls_setting(function: F) -> F:
    """Add the optional ``--tls-file`` setting; a program that gets it serves HTTPS."""
    return click.option(
        "--tls-file",
        type=TLS_FILE,
        envvar=env_name("--tls-file"),
        show_envvar=True,
        help="PEM file with certificate and key; without it, plain HTTP is served.",
    )(function)


def common_settings(function: F) -> F:
    """Add the settings that every long-running program has."""
    for option in reversed(
        (
            setting(
                "--peer-listen",
                ADDRESS,
                "Address for connections from other processes.",
            ),
            setting("--host", NAME, "Name of this host."),
            setting("--place", NAME, "Place (availability zone) of this host."),
            setting("--kv", URL, "The platform's key-value service."),
            setting("--host-list", URL, "The platform's host list."),
            setting("--key-file", KEY_FILE, "File with the key shared by all peers."),
        )
    ):
        function = option(function)
    return function

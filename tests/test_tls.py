"""HTTPS of the administration API, and the command line that checks it."""

import hashlib
import json
import sys

import pytest
import trio
import trustme
from click.testing import CliRunner

from mustardfront.programs.admin import main
from mustardfront_standins.fleet import Fleet
from running import KEY, STEP_LIMIT_S


async def cli(admin: str, *flags: str) -> tuple[int, str]:
    command = [sys.executable, "-m", "mustardfront.programs.cli", "--admin", admin]
    with trio.fail_after(STEP_LIMIT_S):
        run = await trio.run_process(
            [*command, *flags, "status", "--json"],
            capture_stdout=True,
            capture_stderr=True,
            check=False,
        )
    return run.returncode, run.stdout.decode()


async def test_status_over_https_needs_a_known_certificate(tmp_path):
    # Guards against a client that talks to anybody, and a server that falls to HTTP.
    authority = trustme.CA()
    authority.issue_cert("127.0.0.1").private_key_and_cert_chain_pem.write_to_path(
        tmp_path / "server.pem"
    )
    authority.cert_pem.write_to_path(tmp_path / "ca.pem")
    trustme.CA().cert_pem.write_to_path(tmp_path / "other.pem")
    digest = hashlib.sha256(b"secret").hexdigest()
    (tmp_path / "operators").write_text(f"ada:{digest}\n")
    (tmp_path / "token").write_text("ada:secret\n")
    (tmp_path / "key").write_bytes(KEY)
    async with Fleet() as fleet:
        kv = await fleet.start_standin("kv", "kv")
        hosts = await fleet.start_standin("hosts", "hosts")
        args = {
            "listen": "127.0.0.1:0",
            "peer-listen": "127.0.0.1:0",
            "host": "h1",
            "place": "a",
            "kv": kv.ready["url"],
            "host-list": hosts.ready["url"],
            "key-file": str(tmp_path / "key"),
            "token-file": str(tmp_path / "operators"),
            "tls-file": str(tmp_path / "server.pem"),
        }
        flags = [part for name, value in args.items() for part in (f"--{name}", value)]
        admin = await fleet.start("admin", "mustardfront.programs.admin", *flags)
        with trio.fail_after(STEP_LIMIT_S):
            ready = await admin.wait_event("process-ready")
        address = ready["addresses"]["listen"]
        token = ("--token-file", str(tmp_path / "token"))
        known = ("--ca-file", str(tmp_path / "ca.pem"), *token)
        code, printed = await cli(f"https://{address}", *known)
        assert code == 0, printed
        assert "processes" in json.loads(printed)
        other = ("--ca-file", str(tmp_path / "other.pem"), *token)
        assert (await cli(f"https://{address}", *other))[0] == 3
        assert (await cli(f"http://{address}", *token))[0] == 3


@pytest.mark.parametrize("text", ["", "no certificate"])
def test_unusable_tls_file_is_refused_at_the_start(tmp_path, text):
    path = tmp_path / "server.pem"
    path.write_text(text)
    result = CliRunner().invoke(main, ["--tls-file", str(path)])
    assert result.exit_code == 2
    assert "MUSTARDFRONT_TLS_FILE" in result.output

"""TLS of the administration API, and certificate checks of the command line."""

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


async def run_status_command(admin: str, *flags: str) -> tuple[int, str]:
    command = [sys.executable, "-m", "mustardfront.programs.cli", "--admin", admin]
    with trio.fail_after(STEP_LIMIT_S):
        process = await trio.run_process(
            [*command, *flags, "status", "--json"],
            capture_stdout=True,
            capture_stderr=True,
            check=False,
        )
    return process.returncode, process.stdout.decode()


async def test_status_over_https_needs_a_trusted_certificate(tmp_path):
    # Guards against a client that accepts any certificate and a server that falls
    # back to plain HTTP.
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
        options = {
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
        flags = [
            part for name, value in options.items() for part in (f"--{name}", value)
        ]
        admin = await fleet.start("admin", "mustardfront.programs.admin", *flags)
        with trio.fail_after(STEP_LIMIT_S):
            ready = await admin.wait_event("process-ready")
        address = ready["addresses"]["listen"]
        token = ("--token-file", str(tmp_path / "token"))
        trusted_ca = ("--ca-file", str(tmp_path / "ca.pem"), *token)
        code, output = await run_status_command(f"https://{address}", *trusted_ca)
        assert code == 0, output
        assert "processes" in json.loads(output)
        other_ca = ("--ca-file", str(tmp_path / "other.pem"), *token)
        assert (await run_status_command(f"https://{address}", *other_ca))[0] == 3
        assert (await run_status_command(f"http://{address}", *token))[0] == 3


@pytest.mark.parametrize("text", ["", "no certificate"])
def test_unusable_tls_file_is_refused_at_startup(tmp_path, text):
    path = tmp_path / "server.pem"
    path.write_text(text)
    result = CliRunner().invoke(main, ["--tls-file", str(path)])
    assert result.exit_code == 2
    assert "MUSTARDFRONT_TLS_FILE" in result.output

"""The command line with scripted API responses: exit codes, races, lost responses."""

import json

import pytest
from click.testing import CliRunner

from mustardfront.codes import Code
from mustardfront.programs.cli import _client, main
from mustardfront.results import Err, Ok

ADMINS = ("--admin", "http://127.0.0.1:1", "--admin", "http://127.0.0.1:2")
LOST = Err(Code.WRITE_UNKNOWN, "lost")
DOWN = Err(Code.CONNECT_FAILED, "refused")
STORE_DOWN = Err(Code.STORE_UNAVAILABLE, "down")
RACED = Err(Code.TICKET_RACED, "another was first")
REFUSED = Err(Code.TOKEN_REFUSED, "revoked")
ACCEPTED = Ok({"number": 1, "digest": "d", "repeated": False})
TICKET = {"ticket": 1, "author": "a", "reason": "r", "set": {}}


class ScriptedApi:
    """Returns scripted results by method and path, in order; the last one repeats."""

    def __init__(self, answers: dict) -> None:
        self.results = {call: list(results) for call, results in answers.items()}
        self.posted: list[dict] = []

    def request(self, method: str, url: str, body: bytes | None, token, ca_file):
        path = url.split("/", 3)[3]
        if body is not None:
            self.posted.append(json.loads(body))
        results = self.results[f"{method} {path}"]
        return results.pop(0) if len(results) > 1 else results[0]


@pytest.fixture
def run(monkeypatch):
    def invoke(answers: dict, *args: str):
        api = ScriptedApi(answers)
        monkeypatch.setattr(_client, "_send_request", api.request)
        result = CliRunner().invoke(main, [*ADMINS, *args])
        return result, api

    return invoke


@pytest.mark.parametrize(
    ("answers", "code"),
    [
        ([ACCEPTED], 0),
        ([DOWN, ACCEPTED], 0),
        ([STORE_DOWN, ACCEPTED], 0),
        ([DOWN], 3),
        ([STORE_DOWN], 3),
        ([RACED], 1),
        # After a lost response, only a conclusive result for this ticket ends the
        # uncertainty.
        ([LOST, ACCEPTED], 0),
        ([LOST, DOWN, RACED], 1),
        ([LOST, DOWN], 4),
        ([REFUSED], 1),
        ([LOST, REFUSED], 4),
        ([LOST, DOWN, REFUSED], 4),
        ([LOST, STORE_DOWN], 4),
        ([LOST], 4),
        ([DOWN, LOST, DOWN, DOWN, DOWN, DOWN], 4),
    ],
)
def test_exit_code_of_a_submission(run, tmp_path, answers, code):
    # Guards against reporting a ticket as refused or unreachable that may have been
    # accepted, because the response to an earlier attempt was lost.
    file = tmp_path / "t.json"
    file.write_text(json.dumps(TICKET))
    result, _api = run({"POST v1/tickets": answers}, "ticket", "submit", str(file))
    assert result.exit_code == code, result.output


def test_drain_reads_the_host_again_after_a_race(run):
    # Guards against a ticket that reverts the change of the operator who won the race.
    before_race = {"version": 4, "entry": {"place": "pa", "state": "active"}}
    after_race = {"version": 5, "entry": {"place": "pb", "state": "active"}}
    result, api = run(
        {
            "GET v1/config/hosts/h1": [
                Ok(before_race),
                Ok(before_race),
                Ok(after_race),
            ],
            "POST v1/tickets": [RACED, ACCEPTED],
        },
        *("drain", "h1", "--author", "hanna"),
    )
    assert result.exit_code == 0, result.output
    assert [ticket["ticket"] for ticket in api.posted] == [5, 6]
    assert api.posted[1]["set"] == {
        "hosts": {"h1": {"place": "pb", "state": "draining"}}
    }
    assert api.posted[1]["author"] == "hanna"


def test_drain_takes_the_author_from_the_token(run, tmp_path):
    # Guards against a ticket whose author is the login name: the API refuses it.
    file = tmp_path / "token"
    file.write_text("hanna:secret\n")
    entry = {"version": 4, "entry": {"place": "pa", "state": "active"}}
    result, api = run(
        {"GET v1/config/hosts/h1": [Ok(entry)], "POST v1/tickets": [ACCEPTED]},
        *("--token-file", str(file), "drain", "h1"),
    )
    assert result.exit_code == 0, result.output
    assert api.posted[0]["author"] == "hanna"


def test_drain_of_a_draining_host_submits_nothing(run):
    entry = {"version": 4, "entry": {"place": "pa", "state": "draining"}}
    result, api = run({"GET v1/config/hosts/h1": [Ok(entry)]}, "drain", "h1")
    assert result.exit_code == 0 and not api.posted


def test_replay_omits_removals_of_missing_entries(run):
    # Guards against a replay that is refused because an entry is already removed.
    original = {"ticket": 2, "set": {}, "remove": {"hosts": ["h1", "h2"]}}
    result, api = run(
        {
            "GET v1/tickets/2": [Ok(original)],
            "GET v1/config/places": [Ok({"version": 7, "names": []})],
            "GET v1/config/hosts": [Ok({"version": 7, "names": ["h2", "h3"]})],
            "POST v1/tickets": [ACCEPTED],
        },
        *("ticket", "replay", "2"),
    )
    assert result.exit_code == 0, result.output
    assert api.posted[0]["ticket"] == 8
    assert api.posted[0]["remove"] == {"hosts": ["h2"]}


@pytest.mark.parametrize(
    ("answers", "code", "text"),
    [
        ([Ok([{"event": 300, "name": "ROUTE_CHOSEN", "upstream": "w1"}])], 0, "w1"),
        ([Err(Code.REQUEST_NOT_FOUND, "not found"), DOWN], 1, "REQUEST_NOT_FOUND"),
        ([DOWN, Ok([{"event": 301}])], 0, "event=301"),
        ([DOWN], 3, "CONNECT_FAILED"),
    ],
)
def test_explain_queries_each_entry(run, answers, code, text):
    # Guards against stopping at an entry that is down or did not see the request.
    entries = ("--entry", "http://127.0.0.1:3", "--entry", "http://127.0.0.1:4")
    result, _api = run({"GET explain/r%2F1": answers}, "explain", "r/1", *entries)
    assert result.exit_code == code
    assert text in result.output


def test_status_shows_processes_without_the_accepted_version(run):
    row = {"role": "entry", "place": "pa", "state": "live"}
    rows = [row | {"host": "e1", "version": 3}, row | {"host": "e2", "version": None}]
    data = {"accepted": 3, "error": "", "processes": rows}
    result, _api = run({"GET v1/status": [Ok(data)]}, "status")
    assert "accepted version 3; 2 processes, 1 without it" in result.output
    assert result.output.splitlines()[-1].split() == ["e2", "entry", "pa", "live", "-"]

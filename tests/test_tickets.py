"""Ticket files and their submission: order, races, lost responses, rejections."""

import json
import random

import pytest
import trio
import trio.testing
from bench._memory_kv import MemoryKv
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from mustardfront.codes import Code
from mustardfront.coordination.config import _records as records
from mustardfront.coordination.config import (
    check_ticket,
    list_tickets,
    parse_ticket_json,
    read_head,
    read_snapshot,
    read_ticket,
    read_ticket_file,
    submit_ticket,
)
from mustardfront.results import Err, Ok
from mustardfront.state import Config, Place, Ticket

TICKET_DATA = {
    "ticket": 1,
    "author": "operator",
    "reason": "first hosts",
    "set": {
        "places": {"bayern-a": {"region": "bayern"}},
        "hosts": {"h1": {"place": "bayern-a"}},
    },
}
TICKET_TOML = """
ticket = 1
author = "operator"
reason = "first hosts"
[set.places.bayern-a]
region = "bayern"
[set.hosts.h1]
place = "bayern-a"
"""


def place_ticket(number: int, name: str, author: str = "a") -> Ticket:
    return Ticket(number, author, "r", {"places": {name: Place("region")}})


def test_json_and_toml_files_give_the_same_ticket(tmp_path):
    json_file, toml_file = tmp_path / "t.json", tmp_path / "t.toml"
    json_file.write_text(json.dumps(TICKET_DATA))
    toml_file.write_text(TICKET_TOML)
    ticket = read_ticket_file(json_file)
    assert isinstance(ticket, Ok)
    assert read_ticket_file(toml_file) == ticket


@pytest.mark.parametrize(
    ("name", "text", "location"),
    [
        ("t.json", '{"ticket": 1,\n "author" "x"}', "line 2, column 11"),
        ("t.json", json.dumps(TICKET_DATA | {"ticket": 0}), "ticket: 0"),
        ("t.json", json.dumps(TICKET_DATA | {"rooms": {}}), "top level: "),
        (
            "t.json",
            json.dumps(TICKET_DATA | {"set": {"hosts": {"h": {}}}}),
            "set.hosts.h: ",
        ),
        (
            "t.json",
            json.dumps(TICKET_DATA | {"remove": {"hosts": ["h1"]}}),
            "remove.hosts: ",
        ),
        ("t.json", '{"ticket": 1, "ticket": 2}', "'ticket' is repeated"),
        ("t.json", '{"ticket": NaN}', "NaN is not a JSON number"),
        ("t.json", "[" * 100_000, "not JSON"),
        ("t.toml", "ticket = 1\nauthor = = 1", "line 2"),
        ("t.toml", TICKET_TOML.replace("place =", "room ="), "set.hosts.h1: "),
        ("t.yaml", "ticket: 1", ".json or .toml"),
    ],
)
def test_malformed_file_is_rejected_with_the_location(tmp_path, name, text, location):
    file = tmp_path / name
    file.write_text(text)
    result = read_ticket_file(file)
    assert isinstance(result, Err) and result.code is Code.TICKET_MALFORMED
    assert name in result.text and location in result.text


@settings(derandomize=True)
@given(st.binary(max_size=100))
def test_random_bytes_are_refused_with_a_code(data):
    # Guards against an exception that the admin process would not turn into a response.
    assert isinstance(parse_ticket_json(data), Err)


async def test_accepted_tickets_can_be_read_back(autojump_clock):
    kv = MemoryKv()
    for number in range(1, 24):
        result = await submit_ticket(kv, place_ticket(number, f"p{number}"))
        assert isinstance(result, Ok) and result.value.number == number
    listed = await list_tickets(kv, 15)
    assert isinstance(listed, Ok)
    assert [ticket.number for ticket in listed.value] == list(range(23, 8, -1))
    # One read returns up to ten tickets; the platform counts every call.
    assert kv.calls["get_prefix"] - 23 <= 3
    missing = await read_ticket(kv, 24)
    assert isinstance(missing, Err) and missing.code is Code.TICKET_NOT_FOUND


async def test_rejected_tickets_write_nothing(autojump_clock):
    kv = MemoryKv()
    await submit_ticket(kv, place_ticket(1, "p1"))
    data_before = dict(kv.data)
    invalid_reference = Ticket(2, "a", "r", remove={"places": ("nowhere",)})
    for ticket, code in (
        (place_ticket(3, "p3"), Code.TICKET_OUT_OF_ORDER),
        (place_ticket(1, "other"), Code.TICKET_OUT_OF_ORDER),
        (invalid_reference, Code.TICKET_INVALID_REFERENCE),
    ):
        result = await submit_ticket(kv, ticket)
        assert isinstance(result, Err) and result.code is code
    assert isinstance(await check_ticket(kv, place_ticket(2, "p2")), Ok)
    assert kv.data == data_before


async def test_large_snapshot_is_split_into_chunks_and_can_shrink(
    autojump_clock, monkeypatch
):
    monkeypatch.setattr(records, "CHUNK_BYTES", 100)
    monkeypatch.setattr(records, "CHUNKS_MAX", 8)
    kv = MemoryKv()
    names = [random.Random(seed).randbytes(10).hex() for seed in range(12)]
    places = {name: Place(name) for name in names}
    assert isinstance(
        await submit_ticket(kv, Ticket(1, "a", "r", {"places": places})), Ok
    )
    chunks = [key for key in kv.data if key.startswith(records.SNAPSHOT_PREFIX)]
    assert len(chunks) > 2
    smaller = Ticket(2, "a", "r", remove={"places": tuple(names)})
    assert isinstance(await submit_ticket(kv, smaller), Ok)
    # A leftover chunk of the larger snapshot would make the new one unreadable.
    assert await read_snapshot(kv) == Ok(Config(version=2))


async def test_too_large_snapshot_is_rejected(autojump_clock, monkeypatch):
    monkeypatch.setattr(records, "CHUNK_BYTES", 10)
    result = await submit_ticket(MemoryKv(), place_ticket(1, "p1"))
    assert isinstance(result, Err) and result.code is Code.TICKET_TOO_LARGE


@pytest.mark.parametrize("fault", ["lost", "dropped"])
async def test_lost_response_is_resolved_by_reading_back(autojump_clock, fault):
    kv = MemoryKv()
    faults = iter([fault])
    kv.fault = lambda kind: next(faults, "") if kind == "txn" else ""
    result = await submit_ticket(kv, place_ticket(1, "p1"))
    assert isinstance(result, Ok)
    assert kv.revision == 1  # The repeated transaction took effect only once.


async def test_outage_after_a_lost_response_is_reported_as_unknown(autojump_clock):
    kv = MemoryKv()

    def fault(kind: str) -> str:
        if kind == "txn":
            kv.is_down = True
            return "lost"
        return ""

    kv.fault = fault
    result = await submit_ticket(kv, place_ticket(1, "p1"))
    assert isinstance(result, Err) and result.code is Code.WRITE_UNKNOWN
    kv.is_down, kv.fault = False, lambda _kind: ""
    resubmitted = await submit_ticket(kv, place_ticket(1, "p1"))
    assert isinstance(resubmitted, Ok) and resubmitted.value.repeated


async def test_outage_before_the_write_is_reported_as_not_accepted(autojump_clock):
    kv = MemoryKv()
    kv.fault = lambda kind: "down" if kind == "txn" else ""
    result = await submit_ticket(kv, place_ticket(1, "p1"))
    assert isinstance(result, Err) and result.code is Code.STORE_UNAVAILABLE
    assert not kv.data


FAULTS = st.lists(st.sampled_from(["", "", "lost", "dropped", "down"]), max_size=40)


@settings(
    max_examples=60,
    deadline=None,
    derandomize=True,
    suppress_health_check=[HealthCheck.too_slow],
)
@given(faults=FAULTS, seeds=st.tuples(st.integers(0, 999), st.integers(0, 999)))
def test_racing_operators_never_lose_or_double_a_ticket(faults, seeds):
    # Guards guarantee 7: accepted tickets stay in the history, rejected ones are not in
    # it, and there is one history without gaps. Two operators submit concurrently
    # while reads and writes fail at random.
    async def main() -> None:
        kv = MemoryKv()
        kv.delay_s = 0.01
        planned = iter(faults)
        kv.fault = lambda _kind: next(planned, "")
        answers: list[tuple[Ticket, object]] = []

        async def operate(author: str, seed: int) -> None:
            rng = random.Random(seed)
            for index in range(4):
                await trio.sleep(rng.uniform(0, 0.1))
                head = await read_head(kv)
                at = head.value[0].version if isinstance(head, Ok) else 0
                number = max(1, at + rng.choice([0, 1, 1, 1, 2]))
                ticket = place_ticket(number, f"{author}{index}", author)
                answers.append((ticket, await submit_ticket(kv, ticket, rng)))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(operate, "a", seeds[0])
            nursery.start_soon(operate, "b", seeds[1])
        kv.fault = lambda _kind: ""
        head, cfg = await read_head(kv), await read_snapshot(kv)
        assert isinstance(head, Ok) and isinstance(cfg, Ok)
        version = head.value[0].version
        assert cfg.value.version == version
        history = [await read_ticket(kv, number + 1) for number in range(version)]
        tickets = [item.value for item in history if isinstance(item, Ok)]
        assert len(tickets) == version
        assert len(cfg.value.places) == version
        for ticket, answer in answers:
            if isinstance(answer, Ok):
                assert ticket in tickets
            elif answer.code is not Code.WRITE_UNKNOWN:
                assert ticket not in tickets

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

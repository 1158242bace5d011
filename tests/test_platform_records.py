"""Records that the operator and the workers write to the platform's store."""

from __future__ import annotations

import json

import pytest

from mustardfront.results import Err, Ok
from mustardfront.state import RequestKind
from mustardfront_platform._records import decode_config, decode_worker
from platform_fakes import operator_config, worker_record


def test_operator_configuration_is_decoded():
    decoded = decode_config(json.dumps(operator_config()).encode())
    assert isinstance(decoded, Ok)
    cfg = decoded.value
    assert cfg.version == 3
    get_route, draft_route = cfg.routes
    assert get_route.kind is RequestKind.IDEMPOTENT
    assert get_route.is_repeatable
    assert [(share.service, share.weight) for share in draft_route.shares] == [
        ("svc", 90),
        ("new", 10),
    ]
    assert cfg.access["k1"].team == "lofts"
    assert cfg.access["k1"].priority == 0
    engine = cfg.services["svc"].engine
    assert engine is not None
    assert (engine.layers, engine.experts, engine.slots_per_rank) == (6, 64, 11)
    assert engine.loads_max == 4
    assert round(engine.expert_load_s, 3) == 0.148


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"[]",
        b"\xff",
        json.dumps(operator_config(version="x")).encode(),
        json.dumps(operator_config(routes=[{"name": "r"}])).encode(),
        json.dumps(operator_config()).replace("idempotent", "maybe").encode(),
    ],
)
def test_invalid_configuration_is_rejected_as_a_whole(data):
    assert isinstance(decode_config(data), Err)


def rank_fields(rank: int, size: int) -> dict[str, object]:
    group = {"name": "g", "epoch": 1, "rank": rank, "state": "open"}
    return {"group": group, "size": size}


def test_worker_announcement_with_a_group_is_decoded():
    record = worker_record("10.0.0.1:80", **rank_fields(7, 8))
    decoded = decode_worker("i-1", json.dumps(record).encode())
    assert isinstance(decoded, Ok)
    assert decoded.value.seat is not None
    assert (decoded.value.seat.rank, decoded.value.seat.size) == (7, 8)


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"null",
        b"\xff\xfe",
        json.dumps(worker_record("10.0.0.1:80", state="resting")).encode(),
        json.dumps(worker_record("nowhere")).encode(),
        json.dumps(worker_record("10.0.0.1:80", slots="six")).encode(),
        json.dumps(worker_record("10.0.0.1:0")).encode(),
        json.dumps(worker_record("10.0.0.1:70000")).encode(),
        json.dumps(worker_record("10.0.0.1:80", slots=0)).encode(),
        json.dumps(worker_record("10.0.0.1:80", slots=10**9)).encode(),
        json.dumps(worker_record("10.0.0.1:80", warmupLeftMs=-1)).encode(),
        json.dumps(worker_record("10.0.0.1:80", born=-1)).encode(),
        json.dumps(worker_record("10.0.0.1:80", born=10**30)).encode(),
        json.dumps(worker_record("10.0.0.1:80", sequence=10**30)).encode(),
        json.dumps(worker_record("10.0.0.1:80", **rank_fields(8, 8))).encode(),
        json.dumps(worker_record("10.0.0.1:80", **rank_fields(-1, 8))).encode(),
        json.dumps(worker_record("10.0.0.1:80", **rank_fields(0, 0))).encode(),
    ],
)
def test_invalid_worker_announcement_is_rejected(data):
    """Guards against an odd record that attracts or ends all requests.

    With more slots than any process has, it seems the least loaded; with a start in
    the far future, it replaces the worker at its address.
    """
    assert isinstance(decode_worker("i-1", data), Err)

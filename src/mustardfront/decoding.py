"""Decoding of JSON that other programs wrote."""

from __future__ import annotations

from typing import Any, TypeVar, overload

import msgspec

DataT = TypeVar("DataT")


@overload
def decode_json(data: bytes | str) -> Any: ...


@overload
def decode_json(data: bytes | str, data_type: type[DataT]) -> DataT: ...


def decode_json(data: bytes | str, data_type: Any = Any) -> Any:
    """Return the value of ``data_type`` in JSON, or raise ``msgspec.DecodeError``.

    Deep nesting raises that error too; msgspec itself raises RecursionError, which
    would end the process of a caller that expects invalid data only.
    """
    try:
        return msgspec.json.decode(data, type=data_type)
    except RecursionError as exc:
        raise msgspec.DecodeError("JSON is nested too deeply") from exc

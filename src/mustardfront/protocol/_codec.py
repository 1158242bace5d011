"""Cap'n Proto encoding of the messages."""

from __future__ import annotations

import dataclasses
import zlib
from collections.abc import Sequence
from importlib import resources
from typing import Any, Final, get_args

import capnp

from mustardfront.codes import Code
from mustardfront.constants import PACKED_VERSION, PROTOCOL_VERSION
from mustardfront.protocol._messages import Chunk, Message, Order, OrderReply
from mustardfront.results import Err, Ok, Result

capnp.remove_import_hook()
_schema = capnp.load(str(resources.files("mustardfront.protocol") / "messages.capnp"))

# What encoding raises for a value out of range and for text with lone surrogates.
ENCODE_ERRORS: Final = (capnp.KjException, ValueError)


def _camel(name: str) -> str:
    first, *rest = name.split("_")
    return first + "".join(word.capitalize() for word in rest)


_TYPES: dict[str, type[Any]] = {
    kind.__name__[0].lower() + kind.__name__[1:]: kind for kind in get_args(Message)
}
_TAGS: dict[type[Any], str] = {kind: tag for tag, kind in _TYPES.items()}
_FIELDS: dict[type[Any], tuple[tuple[str, str], ...]] = {
    kind: tuple((f.name, _camel(f.name)) for f in dataclasses.fields(kind))
    for kind in _TYPES.values()
}
# Tag of the message that holds many chunks; it has no class, as no one else sees it.
_CHUNKS = "chunks"
# Fields that hold lists and need their own conversion.
_PAIR_FIELDS = frozenset({"headers"})
_LIST_FIELDS = frozenset({"fingerprints"})
# Messages whose data is compressed from this size on: maps and counts of a group of 32
# ranks would fill a link of 4 Mbit/s for half a second otherwise.
_PACKED_KINDS = frozenset({Order, OrderReply})
_PACKED_MIN_BYTES: Final = 512
_UNPACKED_MAX_BYTES: Final = 4 * 1024 * 1024
_FASTEST: Final = 1


def encode(message: Message, version: int = PROTOCOL_VERSION) -> bytes:
    """Return the bytes of one message to a peer of a protocol version."""
    kind = type(message)
    envelope = _schema.Envelope.new_message()
    body = envelope.init(_TAGS[kind])
    for name, wire_name in _FIELDS[kind]:
        value = getattr(message, name)
        if name in _PAIR_FIELDS:
            pairs = body.init(wire_name, len(value))
            for slot, (key, text) in enumerate(value):
                pairs[slot].name = key
                pairs[slot].value = text
        elif name in _LIST_FIELDS:
            setattr(body, wire_name, list(value))
        elif kind in _PACKED_KINDS and name == "data":
            is_long = len(value) >= _PACKED_MIN_BYTES
            body.packed = is_long and version >= PACKED_VERSION
            body.data = zlib.compress(value, _FASTEST) if body.packed else value
        else:
            setattr(body, wire_name, value)
    return bytes(envelope.to_bytes())


def encode_chunks(chunks: Sequence[Chunk]) -> bytes:
    """Return the bytes of many chunks, of any streams, as one message.

    Lists of plain values take a fraction of the time that a message each would.
    """
    envelope = _schema.Envelope.new_message()
    body = envelope.init(_CHUNKS)
    body.streams = [chunk.stream for chunk in chunks]
    body.indexes = [chunk.index for chunk in chunks]
    body.data = [chunk.data for chunk in chunks]
    return bytes(envelope.to_bytes())


def decode(data: bytes) -> Result[Message]:
    """Return the one message in ``data``; Err(BAD_MESSAGE) when it is not one."""
    messages = decode_all(data)
    if isinstance(messages, Err):
        return messages
    if len(messages.value) != 1:
        return Err(Code.BAD_MESSAGE, f"{len(messages.value)} chunks instead of one")
    return Ok(messages.value[0])


def decode_all(data: bytes) -> Result[Sequence[Message]]:
    """Return the message, or the chunks, in ``data``; Err(BAD_MESSAGE) otherwise."""
    try:
        with _schema.Envelope.from_bytes(data) as envelope:
            tag = str(envelope.which())
            body = getattr(envelope, tag)
            if tag == _CHUNKS:
                # Columns of different lengths are a ValueError.
                columns = zip(body.streams, body.indexes, body.data, strict=True)
                return Ok([Chunk(*column) for column in columns])
            return Ok((_read(_TYPES[tag], body),))
    except (capnp.KjException, KeyError, UnicodeDecodeError, ValueError) as exc:
        return Err(Code.BAD_MESSAGE, f"undecodable message: {exc}"[:200])


def _read(kind: type[Any], body: Any) -> Any:
    values: list[Any] = []
    for name, wire_name in _FIELDS[kind]:
        value = getattr(body, wire_name)
        if name == "data" and kind in _PACKED_KINDS and body.packed:
            value = _unpack(value)
        if name in _PAIR_FIELDS:
            value = tuple((str(pair.name), str(pair.value)) for pair in value)
        elif name in _LIST_FIELDS:
            value = tuple(bytes(item) for item in value)
        values.append(value)
    return kind(*values)


def _unpack(data: bytes) -> bytes:
    """Return compressed data; a ValueError for bad or too much of it."""
    stream = zlib.decompressobj()
    try:
        found = stream.decompress(data, _UNPACKED_MAX_BYTES)
    except zlib.error as exc:
        raise ValueError(f"compressed data: {exc}") from exc
    if not stream.eof:
        raise ValueError(f"compressed data: cut or over {_UNPACKED_MAX_BYTES} bytes")
    return found


__all__ = ["decode", "decode_all", "encode", "encode_chunks"]

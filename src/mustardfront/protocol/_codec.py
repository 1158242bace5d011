"""Cap'n Proto encoding and decoding of messages."""

from __future__ import annotations

import dataclasses
import zlib
from collections.abc import Sequence
from importlib import resources
from typing import Any, Final, get_args

import capnp

from mustardfront.codes import Code
from mustardfront.constants import COMPRESSION_VERSION, PROTOCOL_VERSION
from mustardfront.protocol._messages import Chunk, Message, Order, OrderReply
from mustardfront.results import Err, Ok, Result

capnp.remove_import_hook()
_schema = capnp.load(str(resources.files("mustardfront.protocol") / "messages.capnp"))

# Raised by encoding for values out of range and for text with lone surrogates.
ENCODE_ERRORS: Final = (capnp.KjException, ValueError)


def _to_camel_case(name: str) -> str:
    first, *rest = name.split("_")
    return first + "".join(word.capitalize() for word in rest)


_TYPES_BY_TAG: dict[str, type[Any]] = {
    message_type.__name__[0].lower() + message_type.__name__[1:]: message_type
    for message_type in get_args(Message)
}
_TAGS_BY_TYPE: dict[type[Any], str] = {
    message_type: tag for tag, message_type in _TYPES_BY_TAG.items()
}
_WIRE_FIELDS: dict[type[Any], tuple[tuple[str, str], ...]] = {
    message_type: tuple(
        (f.name, _to_camel_case(f.name)) for f in dataclasses.fields(message_type)
    )
    for message_type in _TYPES_BY_TAG.values()
}
# Tag of the message that batches chunks. It has no class, as decoding splits it again.
_CHUNKS_TAG = "chunks"
# List fields, which need a conversion of their own: name-value pairs and bytes.
_PAIR_FIELDS = frozenset({"headers"})
_LIST_FIELDS = frozenset(
    {"fingerprints", "suspects", "suspect_parts", "sound_parts", "unsuspected"}
)
# Message types whose data is compressed from this size on. Uncompressed, the maps and
# counts of a group of 32 ranks would occupy a 4 Mbit/s link for half a second.
_COMPRESSIBLE_TYPES = frozenset({Order, OrderReply})
_COMPRESS_MIN_BYTES: Final = 512
_DECOMPRESSED_MAX_BYTES: Final = 4 * 1024 * 1024
_ZLIB_LEVEL_FASTEST: Final = 1


def encode(message: Message, version: int = PROTOCOL_VERSION) -> bytes:
    """Return one message encoded for a peer that speaks protocol ``version``."""
    message_type = type(message)
    envelope = _schema.Envelope.new_message()
    body = envelope.init(_TAGS_BY_TYPE[message_type])
    for name, wire_name in _WIRE_FIELDS[message_type]:
        value = getattr(message, name)
        if name in _PAIR_FIELDS:
            wire_pairs = body.init(wire_name, len(value))
            for index, (header, text) in enumerate(value):
                wire_pairs[index].name = header
                wire_pairs[index].value = text
        elif name in _LIST_FIELDS:
            setattr(body, wire_name, list(value))
        elif message_type in _COMPRESSIBLE_TYPES and name == "data":
            is_long = len(value) >= _COMPRESS_MIN_BYTES
            body.packed = is_long and version >= COMPRESSION_VERSION
            body.data = (
                zlib.compress(value, _ZLIB_LEVEL_FASTEST) if body.packed else value
            )
        else:
            setattr(body, wire_name, value)
    return bytes(envelope.to_bytes())


def encode_chunks(chunks: Sequence[Chunk]) -> bytes:
    """Return chunks, which may be of different streams, encoded as one message.

    Encoding lists of plain values takes a fraction of the time of encoding a message
    for each chunk.
    """
    envelope = _schema.Envelope.new_message()
    body = envelope.init(_CHUNKS_TAG)
    body.streams = [chunk.stream for chunk in chunks]
    body.indexes = [chunk.index for chunk in chunks]
    body.data = [chunk.data for chunk in chunks]
    return bytes(envelope.to_bytes())


def decode(data: bytes) -> Result[Message]:
    """Return the message in ``data``; Err(BAD_MESSAGE) unless it is exactly one."""
    messages = decode_all(data)
    if isinstance(messages, Err):
        return messages
    if len(messages.value) != 1:
        return Err(
            Code.BAD_MESSAGE, f"{len(messages.value)} chunks instead of one message"
        )
    return Ok(messages.value[0])


def decode_all(data: bytes) -> Result[Sequence[Message]]:
    """Return the message or the chunks in ``data``; Err(BAD_MESSAGE) if malformed."""
    try:
        with _schema.Envelope.from_bytes(data) as envelope:
            tag = str(envelope.which())
            body = getattr(envelope, tag)
            if tag == _CHUNKS_TAG:
                # zip raises ValueError for columns of different lengths.
                columns = zip(body.streams, body.indexes, body.data, strict=True)
                return Ok([Chunk(*column) for column in columns])
            return Ok((_decode_body(_TYPES_BY_TAG[tag], body),))
    except (capnp.KjException, KeyError, UnicodeDecodeError, ValueError) as exc:
        return Err(Code.BAD_MESSAGE, f"message cannot be decoded: {exc}"[:200])


def _decode_body(message_type: type[Any], body: Any) -> Any:
    values: list[Any] = []
    for name, wire_name in _WIRE_FIELDS[message_type]:
        value = getattr(body, wire_name)
        if name == "data" and message_type in _COMPRESSIBLE_TYPES and body.packed:
            value = _decompress(value)
        if name in _PAIR_FIELDS:
            value = tuple((str(pair.name), str(pair.value)) for pair in value)
        elif name in _LIST_FIELDS:
            value = tuple(bytes(item) for item in value)
        values.append(value)
    return message_type(*values)


def _decompress(data: bytes) -> bytes:
    """Return ``data`` decompressed.

    Raises ValueError if it is malformed, truncated or too large.
    """
    decompressor = zlib.decompressobj()
    try:
        decompressed = decompressor.decompress(data, _DECOMPRESSED_MAX_BYTES)
    except zlib.error as exc:
        raise ValueError(f"compressed data is malformed: {exc}") from exc
    if not decompressor.eof:
        raise ValueError(
            f"compressed data is truncated or exceeds {_DECOMPRESSED_MAX_BYTES} bytes"
        )
    return decompressed


__all__ = ["decode", "decode_all", "encode", "encode_chunks"]

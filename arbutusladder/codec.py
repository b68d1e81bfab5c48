"""MessagePack and JSON encoding of messages."""

from functools import cache
from typing import Any

import msgspec

from arbutusladder import messages
from arbutusladder.errors import ProtocolError

_ENCODER = msgspec.msgpack.Encoder()
_JSON_ENCODER = msgspec.json.Encoder()
_ENVELOPE_DECODER = msgspec.msgpack.Decoder(tuple[str, float, str, msgspec.Raw])


@cache
def _decoder(name: str) -> msgspec.msgpack.Decoder:
    return msgspec.msgpack.Decoder(getattr(messages, name))


@cache
def _json_decoder(message_type: type) -> msgspec.json.Decoder:
    return msgspec.json.Decoder(message_type)


def pack_envelope(sender: str, sent_at: float, message: Any) -> bytes:
    """Encodes a message to another entry VM, with its type name and sender.

    Args:
        sender: Seat of the sender.
        sent_at: Wall-clock time of the send in seconds.
        message: Message defined in the messages module.
    """
    return _ENCODER.encode((sender, sent_at, type(message).__name__, message))


def unpack_envelope(data: bytes) -> tuple[str, float, Any]:
    """Decodes an envelope into the sender, the send time and the message.

    Raises:
        ProtocolError: The data is not a message of this version.
    """
    try:
        sender, sent_at, name, body = _ENVELOPE_DECODER.decode(data)
        return sender, sent_at, _decoder(name).decode(body)
    except (msgspec.MsgspecError, AttributeError, TypeError, RecursionError) as error:
        raise ProtocolError(
            f"message cannot be decoded ({error}); run the same version everywhere"
        ) from error


def to_json(message: Any) -> bytes:
    """Encodes a message or a built-in value as JSON."""
    return _JSON_ENCODER.encode(message)


def from_json(data: bytes | str, message_type: type) -> Any:
    """Decodes JSON into a message type.

    Raises:
        ProtocolError: The data does not match the type.
    """
    try:
        return _json_decoder(message_type).decode(data)
    except msgspec.MsgspecError as error:
        raise ProtocolError(f"{message_type.__name__}: {error}") from error

"""MessagePack encoding of attrs classes, for gRPC messages, log entries and snapshots."""

from typing import Any, TypeVar

import msgspec
from grpclib.encoding.base import CodecBase

from cranberrylever.errors import CodecError

T = TypeVar("T")

_encoder = msgspec.msgpack.Encoder()
_decoders: dict[type, msgspec.msgpack.Decoder] = {}


def encode(message: Any) -> bytes:
    """Return ``message`` (an attrs object) as MessagePack bytes."""
    return _encoder.encode(message)


def decode(data: bytes, message_type: type[T]) -> T:
    """Return the message of ``message_type`` encoded in ``data``.

    Raises:
        CodecError: ``data`` is not a valid message of that type.
    """
    decoder = _decoders.get(message_type)
    if decoder is None:
        decoder = _decoders[message_type] = msgspec.msgpack.Decoder(message_type)
    try:
        return decoder.decode(data)
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        raise CodecError(
            f"bytes are not a valid {message_type.__name__}: {error}",
            "check that both processes run compatible versions",
        ) from error


class MsgpackCodec(CodecBase):
    """Codec for grpclib that encodes attrs objects as MessagePack."""

    __content_subtype__ = "msgpack"

    def encode(self, message: Any, message_type: Any) -> bytes:
        """Return ``message`` as MessagePack bytes."""
        return encode(message)

    def decode(self, data: bytes, message_type: Any) -> Any:
        """Return the message of ``message_type`` encoded in ``data``.

        Raises:
            CodecError: ``data`` is not a valid message of that type.
        """
        return decode(data, message_type)

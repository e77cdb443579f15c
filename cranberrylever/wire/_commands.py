"""Codec of replicated commands: class name and encoded body."""

from typing import Any

import attrs

from cranberrylever.errors import CodecError
from cranberrylever.wire._codec import decode, encode


@attrs.frozen
class _CommandFrame:
    """A command's class name and encoded body."""

    kind: str
    body: bytes


class CommandCodec:
    """Turns commands into payloads of log entries and back.

    Args:
        commands: Union of the command classes.
    """

    def __init__(self, commands: Any) -> None:
        self.kinds: dict[str, type] = {kind.__name__: kind for kind in commands.__args__}

    def encode(self, command: object) -> bytes:
        """Return ``command`` as the payload of a log entry."""
        return encode(_CommandFrame(type(command).__name__, encode(command)))

    def decode(self, data: bytes) -> Any:
        """Return the command in the payload of a log entry.

        Raises:
            CodecError: The payload is damaged or its kind is unknown to this version.
        """
        frame = decode(data, _CommandFrame)
        kind = self.kinds.get(frame.kind)
        if kind is None:
            raise CodecError(f"unknown command {frame.kind!r} in the log", "upgrade this control member")
        return decode(frame.body, kind)

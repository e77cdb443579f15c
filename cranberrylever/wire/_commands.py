"""Codec of the commands in the replicated log."""

from typing import Any

import attrs

from cranberrylever.errors import CodecError
from cranberrylever.wire._codec import decode, encode


@attrs.frozen
class _CommandFrame:
    """Class name and encoded body of a command."""

    kind: str
    body: bytes


class CommandCodec:
    """Encodes commands as payloads of log entries and decodes them.

    Args:
        commands: Union of the command classes.
    """

    def __init__(self, commands: Any) -> None:
        self.classes_by_name: dict[str, type] = {
            command_class.__name__: command_class for command_class in commands.__args__
        }

    def encode(self, command: object) -> bytes:
        """Return ``command`` as the payload of a log entry."""
        return encode(_CommandFrame(type(command).__name__, encode(command)))

    def decode(self, data: bytes) -> Any:
        """Return the command in the payload of a log entry.

        Raises:
            CodecError: The payload is damaged, or this version does not know the command.
        """
        frame = decode(data, _CommandFrame)
        command_class = self.classes_by_name.get(frame.kind)
        if command_class is None:
            raise CodecError(f"unknown command {frame.kind!r} in the log", "upgrade this control member")
        return decode(frame.body, command_class)

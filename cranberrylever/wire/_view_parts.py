"""Parts of large sections of the view.

A section may be larger than what a link carries in the time for which an entry waits for a reply. Each part
is a reply, so an entry sees that it arrives, and control holds one part per entry in its buffers.
"""

from collections.abc import Iterator

from cranberrylever.errors import CodecError
from cranberrylever.wire._feed import FeedReply
from cranberrylever.wire._view_sections import MAX_SECTIONS_BYTES, unpack_sections, with_sections

PART_BYTES = 16_000
"""Size of a part; it fits into one HTTP/2 frame."""


def split_parts(data: bytes) -> Iterator[tuple[bytes, int]]:
    """Return the parts of ``data``, each with the number of bytes after it; no data is one empty part."""
    for start in range(0, max(1, len(data)), PART_BYTES):
        yield data[start : start + PART_BYTES], max(0, len(data) - start - PART_BYTES)


class ReplyAssembler:
    """Joins the parts that arrive on one stream."""

    def __init__(self) -> None:
        self.section_parts: list[bytes] = []
        self.plan_parts: list[bytes] = []

    def add(self, reply: FeedReply) -> FeedReply | None:
        """Return a reply with its sections as fields, ``None`` while parts of them are missing.

        Raises:
            CodecError: The sections cannot be decoded.
        """
        if reply.plan_part:
            data = self._join(self.plan_parts, reply.plan_part, reply.plan_left)
        elif self.section_parts or reply.sections_left:
            data = self._join(self.section_parts, reply.sections, reply.sections_left)
        else:
            return unpack_sections(reply)
        return with_sections(reply, data) if data is not None else None

    @staticmethod
    def _join(parts: list[bytes], part: bytes, left: int) -> bytes | None:
        """Return all parts together once nothing is left."""
        parts.append(part)
        if left > 0 and sum(map(len, parts)) + left > MAX_SECTIONS_BYTES:
            raise CodecError(f"parts exceed {MAX_SECTIONS_BYTES} bytes", "check the control member")
        if left > 0:
            return None
        data = b"".join(parts)
        parts.clear()
        return data

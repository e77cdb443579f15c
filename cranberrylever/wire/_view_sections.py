"""Compressed form of the sections of the view in a reply.

All entries that hold the same versions lack the same sections, so control encodes and compresses them once.
An entry states in its reports that it reads this form, since members of the last version send and read
sections as fields of the reply.
"""

import zlib

import attrs

from cranberrylever.errors import CodecError
from cranberrylever.route_plan import PlanChanges, RoutePlan
from cranberrylever.wire._codec import decode, encode
from cranberrylever.wire._feed import FeedReply, FleetView, RangesView

COMPRESSION_LEVEL = 1
MAX_SECTIONS_BYTES = 64 * 1_048_576
"""Limit on the decompressed size of the sections in one reply."""


@attrs.frozen
class ViewSections:
    """Sections that an entry lacks, ``None`` for those that it holds, and the versions it has afterwards.

    ``plan_changes`` stands in place of ``plan`` for an entry that holds an earlier plan.
    """

    plan_version: int
    plan: RoutePlan | None
    fleet_version: int
    fleet: FleetView | None
    ranges_version: int
    ranges: RangesView | None
    plan_changes: PlanChanges | None = None

    @property
    def is_empty(self) -> bool:
        """Whether the entry lacks nothing."""
        sections = self.plan, self.plan_changes, self.fleet, self.ranges
        return all(section is None for section in sections)


def compress_sections(sections: ViewSections) -> bytes:
    """Return the compressed form of sections."""
    return zlib.compress(encode(sections), COMPRESSION_LEVEL)


def unpack_sections(reply: FeedReply) -> FeedReply:
    """Return a reply with its compressed sections as fields; one without any is returned as it is.

    Raises:
        CodecError: The sections cannot be decompressed or decoded.
    """
    return with_sections(reply, reply.sections) if reply.sections else reply


def with_sections(reply: FeedReply, compressed: bytes) -> FeedReply:
    """Return a reply with compressed sections as its fields.

    Raises:
        CodecError: The sections cannot be decompressed or decoded.
    """
    decompressor = zlib.decompressobj()
    try:
        data = decompressor.decompress(compressed, MAX_SECTIONS_BYTES)
    except zlib.error as error:
        raise CodecError(f"sections cannot be decompressed: {error}", "check the connection") from error
    if not decompressor.eof:
        raise CodecError(
            f"sections are cut off or exceed {MAX_SECTIONS_BYTES} bytes", "check the control member"
        )
    sections = decode(data, ViewSections)
    return fill_sections(attrs.evolve(reply, sections=b"", plan_part=b""), sections)


def fill_sections(reply: FeedReply, sections: ViewSections) -> FeedReply:
    """Return a reply with ``sections`` as its fields, which have the same names."""
    return attrs.evolve(reply, **attrs.asdict(sections, recurse=False))

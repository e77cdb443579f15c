"""Tests of the compressed form of view sections."""

import zlib

import testtools

from cranberrylever.errors import CodecError
from cranberrylever.wire import (
    FeedReply,
    FleetView,
    ViewSections,
    compress_sections,
    encode,
    unpack_sections,
)
from tests.route_entry.test_view import target

SECTIONS = ViewSections(-1, None, 7, FleetView((target("a"), target("b")), 8), 3, None)


def reply(data):
    return FeedReply("c", 1, True, "leader", sections=data)


class ViewSectionsTest(testtools.TestCase):
    def test_unpacked_reply_has_the_sections_as_fields(self):
        """Guards against entries that miss a section because it came compressed."""
        unpacked = unpack_sections(reply(compress_sections(SECTIONS)))
        assert unpacked.fleet == SECTIONS.fleet
        assert (unpacked.plan_version, unpacked.fleet_version, unpacked.ranges_version) == (-1, 7, 3)
        assert unpacked.leader == "leader"
        plain = reply(b"")
        assert unpack_sections(plain) is plain

    def test_unreadable_sections_are_an_error_of_the_stream(self):
        """Guards against a malformed reply that ends the process of an entry."""
        data = compress_sections(SECTIONS)
        for bad in (b"x", data[:-5], data[:10], zlib.compress(b"\xc1"), zlib.compress(encode(7))):
            self.assertRaises(CodecError, unpack_sections, reply(bad))

    def test_sections_that_grow_without_end_are_refused(self):
        """Guards against a few bytes that fill the memory of an entry."""
        self.assertRaises(CodecError, unpack_sections, reply(zlib.compress(bytes(70 * 1_048_576))))

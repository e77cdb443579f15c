"""Tests of sections of the view that arrive in parts."""

import testtools

from cranberrylever.errors import CodecError
from cranberrylever.wire import FeedReply, ReplyAssembler, ViewSections, compress_sections, split_parts
from cranberrylever.wire._view_parts import PART_BYTES
from cranberrylever.wire._view_sections import MAX_SECTIONS_BYTES
from tests.route_control.test_feed_load import plan

PLAN = plan(3, 4_000)
PLAN_SECTION = compress_sections(ViewSections(3, PLAN, -1, None, -1, None))


def reply(**fields):
    return FeedReply("c", 1, True, "leader", **fields)


class ReplyAssemblerTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.assembler = ReplyAssembler()

    def test_parts_are_as_small_as_promised_and_join_to_the_whole(self):
        """Guards against a part that no slow link carries in time, and against lost bytes between parts."""
        parts = list(split_parts(PLAN_SECTION))
        assert len(parts) > 3
        assert max(len(part) for part, _ in parts) <= PART_BYTES
        results = [self.assembler.add(reply(plan_part=part, plan_left=left)) for part, left in parts]
        assert results[:-1] == [None] * (len(parts) - 1)
        assert results[-1].plan.routes == PLAN.routes

    def test_replies_between_two_parts_of_a_plan_are_read_at_once(self):
        """Guards against permits and owners of keys that wait behind a large plan."""
        (first, left), *_ = split_parts(PLAN_SECTION)
        assert self.assembler.add(reply(plan_part=first, plan_left=left)) is None
        assert self.assembler.add(reply()) == reply()

    def test_other_sections_are_joined_too(self):
        """Guards against a list of targets that is read before all of it has come."""
        parts = list(split_parts(PLAN_SECTION))
        results = [self.assembler.add(reply(sections=part, sections_left=left)) for part, left in parts]
        assert results[:-1] == [None] * (len(parts) - 1)
        assert results[-1].plan_version == 3

    def test_parts_without_end_are_refused(self):
        """Guards against a member that fills the memory of an entry."""
        endless = reply(plan_part=b"x", plan_left=MAX_SECTIONS_BYTES)
        self.assertRaises(CodecError, self.assembler.add, endless)

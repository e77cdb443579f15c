"""Tests of the message codec."""

import testtools
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from cranberrylever.errors import CodecError
from cranberrylever.state import AssignShards, ShardAssignment, decode_command, encode_command
from cranberrylever.wire import EntryFrame, EntryReport, decode, encode


class CodecTest(testtools.TestCase):
    def test_message_round_trip(self):
        """Guards against fields of a message that are lost or changed between the sender and the receiver."""
        frame = EntryFrame("c", report=EntryReport(1, "e", "i", 2, 3, permits={"t": 1}))
        self.assertEqual(frame, decode(encode(frame), EntryFrame))

    def test_command_round_trip(self):
        """Guards against commands in the log that are applied with lost or changed fields."""
        command = AssignShards("ledger", (ShardAssignment(1, 2, "t", "i"),))
        self.assertEqual(command, decode_command(encode_command(command)))

    def test_arbitrary_bytes_raise_only_codec_errors(self):
        """Guards against a damaged frame that stops a process by an unexpected exception."""

        @seed(1)
        @settings(max_examples=300, deadline=None, database=None)
        @given(st.binary(max_size=200))
        def decode_any(data):
            for decoder in (lambda: decode(data, EntryFrame), lambda: decode_command(data)):
                try:
                    decoder()
                except CodecError:
                    continue

        decode_any()

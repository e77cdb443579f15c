"""Tests of the service for entries of a control member."""

import asyncio

import testtools

from cranberrylever.control._entries import EntryService, EntryStream
from cranberrylever.state import ClusterState, decode_command, encode_command
from cranberrylever.wire import ClaimAnswer, CompleteClaim, EntryReport, OpenClaim, ViewAnswer
from tests.support import run_in_simulated_time


class FakeLeader:
    """Applies commands as a control member does, after encoding and decoding them."""

    def __init__(self):
        self.state = ClusterState()
        self.index = 0

    def is_serving(self):
        return True

    async def wait_until_serving(self):
        return True

    async def propose(self, command):
        self.index += 1
        return self.state.apply(self.index, decode_command(encode_command(command)))


class FakeStream:
    def __init__(self):
        self.sent = []

    async def send_message(self, reply):
        self.sent.append(reply.claim_result)


class BlockedStream:
    """A stream whose peer does not read."""

    async def send_message(self, reply):
        await asyncio.get_running_loop().create_future()


class FakeCoordinator:
    def __init__(self):
        self.state = ClusterState()

    def view_answer(self, report, now):
        return ViewAnswer(report.sequence, self.state.view_version)


class EntryServiceTest(testtools.TestCase):
    def test_frozen_entry_gets_no_further_views(self):
        """Guards against answers that queue up for an entry that does not read for hours."""

        async def main():
            coordinator = FakeCoordinator()
            service = EntryService("c", FakeLeader(), coordinator)
            entry = EntryStream(BlockedStream(), EntryReport(1, "e1", "i", 0, 0))
            service.streams.add(entry)
            for version in range(1, 4):
                coordinator.state.view_version = version
                service.push_view()
                await asyncio.sleep(0.01)
            count = len(entry.tasks)
            for task in entry.tasks:
                task.cancel()
            return count

        self.assertEqual(1, run_in_simulated_time(main))

    def test_claim_commands_survive_encoding(self):
        """Guards against a completion with swapped fields.

        Such a completion stops every member that applies it, also after each restart.
        """
        answer = ClaimAnswer("done", 200, (("a", "b"),), b"body")

        async def main():
            stream = FakeStream()
            entry = EntryStream(stream)
            service = EntryService("c", FakeLeader(), None)
            await service._open_claim(entry, OpenClaim(1, "claim", "print", "e1", "attempt"))
            await service._complete_claim(entry, CompleteClaim(2, "claim", "e1", answer, "attempt"))
            await service._open_claim(entry, OpenClaim(3, "claim", "print", "e2", "other"))
            return stream.sent

        sent = run_in_simulated_time(main)
        self.assertEqual(
            [(1, "won"), (2, "completed"), (3, "answered")], [(result.call, result.state) for result in sent]
        )
        self.assertEqual(answer, sent[2].answer)

"""Tests of requests with an idempotency key."""

import asyncio

import testtools
from attrs import evolve

from tests.entry.fakes import TEST_TUNING, World, answer, keyed_view, run, wait_until

OUTCOME = "Cranberrylever-Outcome"
KEY = {"Idempotency-Key": "order-1"}


async def close_connection(request, writer) -> None:
    return None


class ClaimTest(testtools.TestCase):
    def run_world(self, main, targets: int = 1, tuning=TEST_TUNING, entries: int = 1):
        async def start():
            async with World(targets) as world:
                world.control.view = keyed_view(1, world.targets)
                for _ in range(entries):
                    await world.start_entry(tuning)
                await main(world)

        run(start)

    def test_resend_gets_the_stored_answer(self):
        """Guards against a second run of a resent request, at the same and at another entry."""

        async def main(world):
            first = await world.call("/ledger/k", "POST", data=b"x", headers=KEY)
            for entry in (0, 1):
                again = await world.call("/ledger/k", "POST", entry=entry, data=b"x", headers=KEY)
                self.assertEqual((200, b"t1", "done"), (again[0], again[2], again[1][OUTCOME]))
            self.assertEqual(first[2], b"t1")
            self.assertEqual(1, len(world.targets[0].requests))

        self.run_world(main, entries=2)

    def test_same_key_for_another_request_is_refused(self):
        """Guards against the answer to one request being given to another."""

        async def main(world):
            await world.call("/ledger/k", "POST", data=b"x", headers=KEY)
            status, headers, _ = await world.call("/ledger/k", "POST", data=b"y", headers=KEY)
            self.assertEqual((422, "not-run"), (status, headers[OUTCOME]))
            self.assertEqual(1, len(world.targets[0].requests))

        self.run_world(main)

    def test_concurrent_resend_waits_for_the_answer(self):
        """Guards against two runs when a caller resends before the first answer."""

        async def main(world):
            async def slow(request, writer):
                await asyncio.sleep(0.3)
                return answer(b"slow")

            world.targets[0].handler = slow
            calls = [world.call("/ledger/k", "POST", entry=n, data=b"x", headers=KEY) for n in (0, 1)]
            answers = await asyncio.gather(*calls)
            self.assertEqual([b"slow", b"slow"], [body for _, _, body in answers])
            self.assertEqual(1, len(world.targets[0].requests))

        self.run_world(main, entries=2)

    def test_resend_while_the_first_runs_ends_unknown_at_its_deadline(self):
        """Guards against ``not-run`` to a resend whose first request is running."""

        async def main(world):
            world.targets[0].handler = lambda request, writer: asyncio.sleep(3)
            first = asyncio.create_task(world.call("/ledger/k", "POST", data=b"x", headers=KEY))
            await wait_until(lambda: len(world.targets[0].requests) == 1)
            headers = {**KEY, "Cranberrylever-Deadline-Ms": "250"}
            status, answered, _ = await world.call("/ledger/k", "POST", data=b"x", headers=headers)
            self.assertEqual((504, "unknown"), (status, answered[OUTCOME]))
            first.cancel()
            await asyncio.gather(first, return_exceptions=True)

        self.run_world(main)

    def test_unknown_outcome_is_stored(self):
        """Guards against a second run after a lost answer."""

        async def main(world):
            world.targets[0].handler = close_connection
            for _ in range(2):
                status, headers, _ = await world.call("/ledger/k", "POST", data=b"x", headers=KEY)
                self.assertEqual((502, "unknown"), (status, headers[OUTCOME]))
            self.assertEqual(1, len(world.targets[0].requests))

        self.run_world(main)

    def test_claim_of_a_request_that_did_not_run_can_be_won_again(self):
        """Guards against keys that are lost for an hour because no target had room."""

        async def main(world):
            world.control.view = keyed_view(2, world.targets, owner=-1)
            await world.apply(world.control.view)
            headers = {**KEY, "Cranberrylever-Deadline-Ms": "150"}
            status, answered, _ = await world.call("/ledger/k", "POST", data=b"x", headers=headers)
            self.assertEqual((503, "not-run"), (status, answered[OUTCOME]))
            await world.apply(keyed_view(3, world.targets, fence=3))
            status, answered, _ = await world.call("/ledger/k", "POST", data=b"x", headers=KEY)
            self.assertEqual((200, "done"), (status, answered[OUTCOME]))

        self.run_world(main)

    def test_nothing_runs_without_a_committed_claim(self):
        """Guards against dispatch before the claim is won."""

        async def main(world):
            world.control.answers_claims = False
            headers = {**KEY, "Cranberrylever-Deadline-Ms": "200"}
            status, answered, _ = await world.call("/ledger/k", "POST", data=b"x", headers=headers)
            self.assertEqual((503, "not-run"), (status, answered[OUTCOME]))
            self.assertEqual([], world.targets[0].requests)

        self.run_world(main)

    def test_claim_messages_are_sent_again_with_the_same_token(self):
        """Guards against requests that fail or run twice because a reply of control was lost."""

        async def main(world):
            world.control.answers_claims = False
            call = asyncio.create_task(world.call("/ledger/k", "POST", data=b"x", headers=KEY))
            await wait_until(lambda: len(world.control.claim_frames) >= 2)
            tokens = {frame.open_claim.attempt for frame in world.control.claim_frames}
            self.assertEqual(1, len(tokens))
            world.control.answers_claims = True
            status, _, _ = await call
            self.assertEqual(200, status)

        self.run_world(main, tuning=evolve(TEST_TUNING, claim_resend_interval=0.05))

    def test_answer_waits_briefly_for_the_stored_outcome(self):
        """Guards against answers held back, and outcomes lost, while control does not answer."""

        async def main(world):
            world.control.answers_completions = False
            started = asyncio.get_running_loop().time()
            status, _, _ = await world.call("/ledger/k", "POST", data=b"x", headers=KEY)
            waited = asyncio.get_running_loop().time() - started
            self.assertEqual(200, status)
            self.assertTrue(0.2 < waited < 1.0, waited)
            world.control.answers_completions = True
            await wait_until(lambda: not world.entries[0].claims.completions)
            self.assertEqual("done", world.control.claims["ledger:order-1"][2].outcome)

        self.run_world(main)

    def test_large_answer_is_passed_on_and_stored_as_unknown(self):
        """Guards against large answers in the replicated log, and against answers cut at the limit."""

        async def main(world):
            large = b"x" * 300_000

            async def respond(request, writer):
                return answer(large)

            world.targets[0].handler = respond
            status, headers, body = await world.call("/ledger/k", "POST", data=b"x", headers=KEY)
            self.assertEqual((200, "done", large), (status, headers[OUTCOME], body))
            status, headers, _ = await world.call("/ledger/k", "POST", data=b"x", headers=KEY)
            self.assertEqual((502, "unknown"), (status, headers[OUTCOME]))
            self.assertEqual(1, len(world.targets[0].requests))

        self.run_world(main)

"""Tests of requests with an idempotency key, through complete entry programs."""

import asyncio

import testtools
from attrs import evolve

from tests.entry.fakes import TEST_TUNING, EntryCluster, answer, keyed_view, run, wait_until

OUTCOME_HEADER = "Cranberrylever-Outcome"
KEY_HEADERS = {"Idempotency-Key": "order-1"}


async def close_connection(request, writer) -> None:
    return None


class ClaimTest(testtools.TestCase):
    def run_cluster(self, main, targets: int = 1, tuning=TEST_TUNING, entries: int = 1):
        async def start():
            async with EntryCluster(targets) as cluster:
                cluster.control.view = keyed_view(1, cluster.targets)
                for _ in range(entries):
                    await cluster.start_entry(tuning)
                await main(cluster)

        run(start)

    def test_resend_gets_the_stored_answer(self):
        """Guards against running a resent request twice, at the same or at another entry."""

        async def main(cluster):
            first = await cluster.call("/ledger/k", "POST", data=b"x", headers=KEY_HEADERS)
            for entry in (0, 1):
                again = await cluster.call("/ledger/k", "POST", entry=entry, data=b"x", headers=KEY_HEADERS)
                self.assertEqual((200, b"t1", "done"), (again[0], again[2], again[1][OUTCOME_HEADER]))
            self.assertEqual(first[2], b"t1")
            self.assertEqual(1, len(cluster.targets[0].requests))

        self.run_cluster(main, entries=2)

    def test_same_key_for_another_request_is_refused(self):
        """Guards against returning the response of one request to a different request with the same key."""

        async def main(cluster):
            await cluster.call("/ledger/k", "POST", data=b"x", headers=KEY_HEADERS)
            status, headers, _ = await cluster.call("/ledger/k", "POST", data=b"y", headers=KEY_HEADERS)
            self.assertEqual((422, "not-run"), (status, headers[OUTCOME_HEADER]))
            self.assertEqual(1, len(cluster.targets[0].requests))

        self.run_cluster(main)

    def test_concurrent_resend_waits_for_the_answer(self):
        """Guards against running a request twice when the caller resends it before the first response."""

        async def main(cluster):
            async def slow(request, writer):
                await asyncio.sleep(0.3)
                return answer(b"slow")

            cluster.targets[0].handler = slow
            calls = [
                cluster.call("/ledger/k", "POST", entry=n, data=b"x", headers=KEY_HEADERS) for n in (0, 1)
            ]
            answers = await asyncio.gather(*calls)
            self.assertEqual([b"slow", b"slow"], [body for _, _, body in answers])
            self.assertEqual(1, len(cluster.targets[0].requests))

        self.run_cluster(main, entries=2)

    def test_resend_while_the_first_runs_ends_unknown_at_its_deadline(self):
        """Guards against the outcome ``not-run`` for a resend while the first request may be running."""

        async def main(cluster):
            cluster.targets[0].handler = lambda request, writer: asyncio.sleep(3)
            first = asyncio.create_task(cluster.call("/ledger/k", "POST", data=b"x", headers=KEY_HEADERS))
            await wait_until(lambda: len(cluster.targets[0].requests) == 1)
            headers = {**KEY_HEADERS, "Cranberrylever-Deadline-Ms": "250"}
            status, answered, _ = await cluster.call("/ledger/k", "POST", data=b"x", headers=headers)
            self.assertEqual((504, "unknown"), (status, answered[OUTCOME_HEADER]))
            first.cancel()
            await asyncio.gather(first, return_exceptions=True)

        self.run_cluster(main)

    def test_unknown_outcome_is_stored(self):
        """Guards against running a request again after its response was lost."""

        async def main(cluster):
            cluster.targets[0].handler = close_connection
            for _ in range(2):
                status, headers, _ = await cluster.call("/ledger/k", "POST", data=b"x", headers=KEY_HEADERS)
                self.assertEqual((502, "unknown"), (status, headers[OUTCOME_HEADER]))
            self.assertEqual(1, len(cluster.targets[0].requests))

        self.run_cluster(main)

    def test_claim_of_a_request_that_did_not_run_can_be_won_again(self):
        """Guards against a key that stays unusable for an hour because no target could serve its request."""

        async def main(cluster):
            cluster.control.view = keyed_view(2, cluster.targets, owner=-1)
            await cluster.apply(cluster.control.view)
            headers = {**KEY_HEADERS, "Cranberrylever-Deadline-Ms": "150"}
            status, answered, _ = await cluster.call("/ledger/k", "POST", data=b"x", headers=headers)
            self.assertEqual((503, "not-run"), (status, answered[OUTCOME_HEADER]))
            await cluster.apply(keyed_view(3, cluster.targets, fence=3))
            status, answered, _ = await cluster.call("/ledger/k", "POST", data=b"x", headers=KEY_HEADERS)
            self.assertEqual((200, "done"), (status, answered[OUTCOME_HEADER]))

        self.run_cluster(main)

    def test_nothing_runs_without_a_committed_claim(self):
        """Guards against sending a request to a target before its claim is committed."""

        async def main(cluster):
            cluster.control.answers_claims = False
            headers = {**KEY_HEADERS, "Cranberrylever-Deadline-Ms": "200"}
            status, answered, _ = await cluster.call("/ledger/k", "POST", data=b"x", headers=headers)
            self.assertEqual((503, "not-run"), (status, answered[OUTCOME_HEADER]))
            self.assertEqual([], cluster.targets[0].requests)

        self.run_cluster(main)

    def test_claim_messages_are_sent_again_with_the_same_token(self):
        """Guards against a request that fails or runs twice because a reply from control was lost."""

        async def main(cluster):
            cluster.control.answers_claims = False
            call = asyncio.create_task(cluster.call("/ledger/k", "POST", data=b"x", headers=KEY_HEADERS))
            await wait_until(lambda: len(cluster.control.claim_frames) >= 2)
            tokens = {frame.open_claim.attempt for frame in cluster.control.claim_frames}
            self.assertEqual(1, len(tokens))
            cluster.control.answers_claims = True
            status, _, _ = await call
            self.assertEqual(200, status)

        self.run_cluster(main, tuning=evolve(TEST_TUNING, claim_resend_interval=0.05))

    def test_answer_waits_briefly_for_the_stored_outcome(self):
        """Guards against delayed responses and lost outcomes while control does not reply to completions."""

        async def main(cluster):
            cluster.control.answers_completions = False
            started = asyncio.get_running_loop().time()
            status, _, _ = await cluster.call("/ledger/k", "POST", data=b"x", headers=KEY_HEADERS)
            waited = asyncio.get_running_loop().time() - started
            self.assertEqual(200, status)
            self.assertTrue(0.2 < waited < 1.0, waited)
            cluster.control.answers_completions = True
            await wait_until(lambda: not cluster.entries[0].claims.completions)
            self.assertEqual("done", cluster.control.claims["ledger:order-1"][2].outcome)

        self.run_cluster(main)

    def test_large_answer_is_passed_on_and_stored_as_unknown(self):
        """Guards against large responses in the replicated log, and responses truncated at the size limit."""

        async def main(cluster):
            large = b"x" * 300_000

            async def respond(request, writer):
                return answer(large)

            cluster.targets[0].handler = respond
            status, headers, body = await cluster.call("/ledger/k", "POST", data=b"x", headers=KEY_HEADERS)
            self.assertEqual((200, "done", large), (status, headers[OUTCOME_HEADER], body))
            status, headers, _ = await cluster.call("/ledger/k", "POST", data=b"x", headers=KEY_HEADERS)
            self.assertEqual((502, "unknown"), (status, headers[OUTCOME_HEADER]))
            self.assertEqual(1, len(cluster.targets[0].requests))

        self.run_cluster(main)

"""Tests of requests that crash their targets, through complete entry programs."""

import asyncio

import testtools

from cranberrylever.wire import SuspectRecord
from tests.entry.fakes import EntryCluster, answer, pooled_view, run, run_entry, wait_until

OUTCOME_HEADER = "Cranberrylever-Outcome"


class CrashTest(testtools.TestCase):
    def test_resent_poison_takes_down_at_most_two_targets(self):
        """Guards against a request that crashes every target because its caller resends it."""

        async def main():
            async with EntryCluster(4) as cluster:
                cluster.control.view = pooled_view(1, cluster.targets)
                for _ in range(2):
                    await cluster.start_entry()
                crashed = []

                def crash_on_poison(target):
                    async def handle(request, writer):
                        if request.path == "/desk/poison":
                            crashed.append(target.target_id)
                            target.crash()
                            return None
                        return answer(b"ok")

                    return handle

                for target in cluster.targets:
                    target.handler = crash_on_poison(target)
                for number in range(6):
                    await cluster.call("/desk/poison", entry=number % 2)
                self.assertEqual(2, len(crashed))
                status, headers, _ = await cluster.call("/desk/poison", "GET")
                self.assertEqual((503, "not-run"), (status, headers[OUTCOME_HEADER]))
                status, _, _ = await cluster.call("/desk/other")
                self.assertEqual(200, status)

        run(main)

    def test_first_crash_is_reported_at_once(self):
        """Guards against a resend through another entry before the next poll reports the crash."""

        async def scenario(cluster, entry):

            async def crash(request, writer):
                cluster.targets[0].crash()

            cluster.targets[0].handler = crash
            headers = {"Cranberrylever-Deadline-Ms": "300"}
            call = asyncio.create_task(cluster.call("/desk/poison", "POST", headers=headers))
            await wait_until(lambda: bool(entry.crashes.table.suspects))
            sent = entry.link.sequence
            await wait_until(lambda: bool(cluster.control.suspects))
            self.assertLessEqual(entry.link.sequence, sent + 1)
            await call

        run_entry(scenario, view=pooled_view)

    def test_suspects_of_other_entries_are_refused(self):
        """Guards against every entry crashing two targets with the same request."""

        async def scenario(cluster, entry):
            fingerprints = []

            async def record_fingerprints(request, writer):
                fingerprints.extend(attempt.exchange.fingerprint for attempt in entry.in_flight.attempts)
                return answer(b"ok")

            for target in cluster.targets:
                target.handler = record_fingerprints
            await cluster.call("/desk/a")
            record = SuspectRecord(fingerprints[0], ("t8/i", "t9/i"))
            cluster.control.suspects[fingerprints[0]] = record
            await wait_until(lambda: bool(entry.crashes.table.suspects))
            status, headers, _ = await cluster.call("/desk/a")
            self.assertEqual((503, "not-run"), (status, headers[OUTCOME_HEADER]))
            self.assertEqual(1, len(fingerprints))

        run_entry(scenario, targets=2, view=pooled_view)

    def test_one_at_a_time_after_one_crash(self):
        """Guards against concurrent copies of a suspect request, each of which may crash a target."""

        async def scenario(cluster, entry):
            running = []
            running_counts = []
            fingerprints = set()

            async def record_fingerprints(request, writer):
                fingerprints.update(attempt.exchange.fingerprint for attempt in entry.in_flight.attempts)
                running.append(request)
                running_counts.append(len(running))
                await asyncio.sleep(0.05)
                running.remove(request)
                return answer(b"ok")

            for target in cluster.targets:
                target.handler = record_fingerprints
            await cluster.call("/desk/a")
            (fingerprint,) = fingerprints
            cluster.control.suspects[fingerprint] = SuspectRecord(fingerprint, ("t9/i",))
            await wait_until(lambda: bool(entry.crashes.table.suspects))
            answers = await asyncio.gather(*(cluster.call("/desk/a") for _ in range(4)))
            self.assertEqual([200] * 4, [status for status, _, _ in answers])
            self.assertEqual(1, max(running_counts))

        run_entry(scenario, targets=3, view=pooled_view)

    def test_closed_idle_connection_is_no_crash(self):
        """Guards against refusing a common request for 10 minutes because targets close idle connections."""

        async def scenario(cluster, entry):

            async def close_connection(request, writer):
                return None

            for _ in range(3):
                cluster.targets[0].handler = close_connection
                await cluster.call("/desk/a", "POST")
            self.assertEqual({}, entry.crashes.table.suspects)

        run_entry(scenario, view=pooled_view)

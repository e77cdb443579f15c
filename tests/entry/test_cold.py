"""Tests of permits for cold targets, queue limits and hedging, through complete entry programs."""

import asyncio

import testtools
from attrs import evolve

from cranberrylever.routing import EntryAddress
from tests.entry.fakes import (
    EntryCluster,
    answer,
    keyed_view,
    pooled_view,
    run,
    run_entry,
    wait_until,
)

OUTCOME_HEADER = "Cranberrylever-Outcome"


class ConcurrencyRecorder:
    """Target handler that records the greatest number of concurrent requests."""

    def __init__(self, seconds: float) -> None:
        self.seconds = seconds
        self.running = 0
        self.max_running = 0

    async def __call__(self, request, writer) -> bytes:
        self.running += 1
        self.max_running = max(self.max_running, self.running)
        try:
            await asyncio.sleep(self.seconds)
        finally:
            self.running -= 1
        return answer(b"ok")


class ColdTargetTest(testtools.TestCase):
    def test_requests_at_a_cold_target_stay_within_the_permits(self):
        """Guards against sending a cold target as many requests as a warm one."""

        async def main():
            async with EntryCluster() as cluster:
                recorder = cluster.targets[0].handler = ConcurrencyRecorder(0.02)
                cluster.control.view = pooled_view(1, cluster.targets, phase="cold")
                cluster.control.permits = {"e1": {"t1": 2}}
                await cluster.start_entry()
                answers = await asyncio.gather(*(cluster.call("/desk/a", "POST") for _ in range(20)))
                self.assertEqual([200] * 20, [status for status, _, _ in answers])
                self.assertEqual(2, recorder.max_running)

        run(main)

    def test_requests_wait_for_permits(self):
        """Guards against refusing requests, or sending them without permits, before control allocates any."""

        async def scenario(cluster, entry):
            call = asyncio.create_task(cluster.call("/desk/a"))
            await asyncio.sleep(0.15)
            self.assertEqual([], cluster.targets[0].requests)
            cluster.control.permits = {"e1": {"t1": 1}}
            self.assertEqual(200, (await call)[0])
            headers = {"Cranberrylever-Deadline-Ms": "100"}
            cluster.control.permits = {}
            await wait_until(lambda: not cluster.entries[0].targets.permits)
            status, answered, _ = await cluster.call("/desk/a", headers=headers)
            self.assertEqual((503, "not-run"), (status, answered[OUTCOME_HEADER]))

        run_entry(scenario, view=pooled_view, phase="cold")

    def test_request_is_forwarded_once_to_a_permit_holder(self):
        """Guards against requests that never run at an entry without permits, and forwarding loops."""

        async def main():
            async with EntryCluster() as cluster:
                cluster.control.permits = {"e2": {"t1": 1}}
                view = keyed_view(1, cluster.targets)
                cold = evolve(view.targets[0], phase="cold")
                cluster.control.view = evolve(view, targets=(cold,))
                first = await cluster.start_entry()
                second = await cluster.start_entry()
                entries = (EntryAddress("e1", first.bound_address), EntryAddress("e2", second.bound_address))
                holders = {"t1": ("e2",)}
                await cluster.apply(
                    evolve(view, version=2, targets=(cold,), entries=entries, permit_holders=holders)
                )
                headers = {"Idempotency-Key": "k1"}
                status, answered, body = await cluster.call("/ledger/k", "POST", data=b"x", headers=headers)
                self.assertEqual((200, "done", b"t1"), (status, answered[OUTCOME_HEADER], body))
                self.assertEqual(1, len(cluster.control.claims))
                self.assertNotIn("cranberrylever-hop", cluster.targets[0].requests[0].headers)
                holders = {"t1": ("e1", "e2")}
                cluster.control.permits = {}
                await cluster.apply(
                    evolve(view, version=3, targets=(cold,), entries=entries, permit_holders=holders)
                )
                await wait_until(lambda: not second.targets.permits)
                headers = {"Cranberrylever-Deadline-Ms": "200"}
                status, answered, _ = await cluster.call("/ledger/k", headers=headers)
                self.assertEqual((503, "not-run"), (status, answered[OUTCOME_HEADER]))
                self.assertEqual(1, len(cluster.targets[0].requests))

        run(main)

    def test_target_that_sheds_as_cold_is_limited_and_reported(self):
        """Guards against full load on a target that has become cold again, before control knows."""

        async def scenario(cluster, entry):

            async def shed(request, writer):
                extra = {"Cranberrylever_Outcome": "not-run", "Cranberrylever_Target_State": "cold"}
                return answer(b"no", 503, **extra)

            cluster.targets[0].handler = shed
            headers = {"Cranberrylever-Deadline-Ms": "300"}
            status, answered, _ = await cluster.call("/desk/a", "POST", headers=headers)
            self.assertEqual((503, "not-run"), (status, answered[OUTCOME_HEADER]))
            self.assertEqual(1, len(cluster.targets[0].requests))
            loads = [load for report in cluster.control.reports for load in report.target_loads]
            self.assertTrue(any(load.appears_cold for load in loads))
            recorder = cluster.targets[0].handler = ConcurrencyRecorder(0.01)
            cluster.control.permits = {"e1": {"t1": 1}}
            await cluster.apply(pooled_view(2, cluster.targets, phase="cold"))
            await asyncio.gather(*(cluster.call("/desk/a") for _ in range(5)))
            self.assertEqual(1, recorder.max_running)
            self.assertEqual({}, entry.targets.cold_marks.marks)

        run_entry(scenario, view=pooled_view)

    def test_new_incarnation_in_an_answer_limits_the_target(self):
        """Guards against full load on a target that has restarted, before control knows."""

        async def scenario(cluster, entry):

            async def restarted(request, writer):
                return answer(b"ok", Cranberrylever_Target_Incarnation="i2")

            cluster.targets[0].handler = restarted
            self.assertEqual(200, (await cluster.call("/desk/a"))[0])
            await wait_until(
                lambda: any(
                    load.appears_cold for report in cluster.control.reports for load in report.target_loads
                )
            )
            headers = {"Cranberrylever-Deadline-Ms": "100"}
            status, answered, _ = await cluster.call("/desk/a", headers=headers)
            self.assertEqual((503, "not-run"), (status, answered[OUTCOME_HEADER]))
            self.assertEqual({"t1"}, set(entry.targets.cold_marks.marks))

        run_entry(scenario, view=pooled_view)


class LimitTest(testtools.TestCase):
    def test_queue_refuses_requests_that_would_miss_their_deadline(self):
        """Guards against requests that wait for a slow target until their deadline."""

        async def scenario(cluster, entry):
            recorder = cluster.targets[0].handler = ConcurrencyRecorder(0.1)
            await cluster.call("/ledger/k")
            headers = {"Cranberrylever-Deadline-Ms": "400"}
            started = asyncio.get_running_loop().time()
            ended = []

            async def call_one(number):
                status, answered, _ = await cluster.call(f"/ledger/{number}", "POST", headers=headers)
                ended.append((status, answered[OUTCOME_HEADER], asyncio.get_running_loop().time() - started))

            await asyncio.gather(*(call_one(number) for number in range(40)))
            refused = [item for item in ended if item[:2] == (503, "not-run")]
            self.assertTrue(refused)
            self.assertLess(min(item[2] for item in refused), 0.3)
            self.assertTrue([item for item in ended if item[0] == 200])
            self.assertLess(recorder.max_running, 20)

        run_entry(scenario)


class HedgingTest(testtools.TestCase):
    def test_slow_request_is_hedged_and_the_slow_attempt_cancelled(self):
        """Guards against slow responses in the tail, and a slow attempt that is not cancelled."""

        async def scenario(cluster, entry):
            for _ in range(130):
                await cluster.call("/desk/a")
            stalled = []

            async def stall_first(request, writer):
                if not stalled:
                    stalled.append(request)
                    await asyncio.sleep(2)
                return answer(b"second")

            for target in cluster.targets:
                target.handler = stall_first
            started = asyncio.get_running_loop().time()
            status, _, body = await cluster.call("/desk/b")
            self.assertEqual((200, b"second"), (status, body))
            self.assertLess(asyncio.get_running_loop().time() - started, 1.0)
            await wait_until(lambda: not entry.in_flight.attempts)
            await wait_until(lambda: sum(target.disconnects for target in cluster.targets) == 1)
            self.assertEqual([0, 0], [state.outstanding for state in entry.targets.states.values()])

        run_entry(scenario, targets=2, view=pooled_view, ratios={"hedge_ratio": 1.0})

    def test_non_idempotent_requests_are_not_hedged(self):
        """Guards against running a non-idempotent request twice."""

        async def scenario(cluster, entry):
            for _ in range(130):
                await cluster.call("/desk/a")
            for target in cluster.targets:
                target.requests.clear()
                target.handler = ConcurrencyRecorder(0.3)
            await cluster.call("/desk/b", "POST")
            self.assertEqual(1, sum(len(target.requests) for target in cluster.targets))

        run_entry(scenario, targets=2, view=pooled_view, ratios={"hedge_ratio": 1.0})

"""Targets whose answers say that they leave or want a pause, with real entries and control over loopback."""

import asyncio

import testtools

from tests.platform.running_system import RunningSystem

DRAIN_BOUND_S = 2.0
"""Time after the first answer of a leaving target from which no request may be sent to it."""

PAUSE_S = 1.5
ANSWER_MARGIN_S = 0.5
"""Time after a refusal from which requests that reach the target count."""

MAX_REQUESTS_IN_PAUSE = 2
LOAD_S = 3.5
REQUEST_INTERVAL_S = 0.02


class StatementTest(testtools.TestCase):
    def run_system(self, entry_count, scenario):
        async def main():
            async with RunningSystem(entry_count) as system:
                await system.prepare()
                await scenario(system)

        asyncio.run(main())

    def check_leaving(self, entry_count, target_number, method, path):
        async def scenario(system):
            target = system.targets[target_number]
            target.leaving = True
            first = len(target.arrivals)
            statuses = await system.send_load(method, path, LOAD_S, REQUEST_INTERVAL_S)
            arrivals = target.arrivals[first:]
            assert arrivals, "the target got no request at all"
            late = [at for at in arrivals if at > arrivals[0] + DRAIN_BOUND_S]
            assert late == [], (arrivals[0], late)
            # While the keys move, 20 of about 175 requests may wait in vain.
            assert statuses.count(200) >= len(statuses) - 20, statuses

        self.run_system(entry_count, scenario)

    def test_pooled_target_whose_answers_say_that_it_leaves(self):
        """Guards against an entry that learns only from control which targets leave."""
        self.check_leaving(1, 2, "POST", "/desk/x")

    def test_owner_of_keys_whose_answers_say_that_it_leaves(self):
        """Guards against keys that stay at a target which leaves without an announcement."""
        self.check_leaving(1, 0, "GET", "/ledger/x")

    def test_other_entries_learn_which_target_leaves(self):
        """Guards against eight entries that each send a leaving target requests until it tells them."""
        self.check_leaving(8, 2, "POST", "/desk/x")

    def test_departure_outlives_the_restart_of_an_entry(self):
        """Guards against an entry that uses a leaving target again because it forgot what the target said."""

        async def scenario(system):
            target = system.targets[2]
            target.leaving = True
            await system.send_load("POST", "/desk/x", LOAD_S, REQUEST_INTERVAL_S)
            await system.route_entries[0].close()
            settings = system.route_entries[0].settings
            system.route_entries[0] = system.create_entry(0, settings.contacts[0])
            await system.route_entries[0].start()
            system.entry = system.entries[0] = system.route_entries[0].settings.listen
            await system.until(system.is_served)
            before = len(target.arrivals)
            await system.send_load("POST", "/desk/x", LOAD_S, REQUEST_INTERVAL_S)
            assert len(target.arrivals) == before

        self.run_system(1, scenario)

    def check_pause(self, entry_count, target_number, method, path, expected):
        async def scenario(system):
            target = system.targets[target_number]
            target.retry_after = str(PAUSE_S)
            first = len(target.arrivals)
            load = asyncio.create_task(system.send_load(method, path, LOAD_S, REQUEST_INTERVAL_S))
            await asyncio.sleep(0.9 * PAUSE_S)
            first_refusal = target.arrivals[first]
            in_pause = [at for at in target.arrivals if at > first_refusal + ANSWER_MARGIN_S]
            target.retry_after = ""
            statuses = await load
            assert len(in_pause) <= MAX_REQUESTS_IN_PAUSE * entry_count, in_pause
            assert expected <= set(statuses) <= {200, 503}, statuses
            assert statuses[-10:] == [200] * 10, statuses

        self.run_system(entry_count, scenario)

    def test_pooled_target_that_wants_a_pause(self):
        """Guards against requests to a target that asked for none, while another one can serve them."""
        self.check_pause(1, 2, "POST", "/desk/x", {200})

    def test_owner_of_keys_that_wants_a_pause(self):
        """Guards against requests to the owner of a key during its pause; callers are refused at once."""
        self.check_pause(8, 0, "GET", "/ledger/x", {200, 503})

    def test_callers_are_told_the_soonest_return_when_all_targets_pause(self):
        """Guards against requests that wait for targets of which each wants a pause."""

        async def scenario(system):
            for target, seconds in zip(system.targets[2:], ("30", "2.5"), strict=True):
                target.retry_after = seconds
            loop = asyncio.get_running_loop()

            async def all_rest():
                answer = await system.request("POST", "/desk/x")
                return b"asked for a pause" in answer.body

            await system.until(all_rest)
            started_at = loop.time()
            answer = await system.request("POST", "/desk/x")
            assert answer.status == 503
            assert loop.time() - started_at < 0.2
            assert 0.0 < float(answer.header(b"retry-after")) <= 2.5, answer.headers

        self.run_system(1, scenario)

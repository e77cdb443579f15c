"""Entries without links to any target, while callers, control and other entries reach them."""

import asyncio

import testtools

from tests.platform.running_system import RunningSystem

CONTACT_S = 3.0
"""Seconds after the cut from which callers of the cut entry must be served."""

LOAD_S = 2.0
REQUEST_INTERVAL_S = 0.04
MIN_RELATIVE_SHARE = 2 / 3
"""Share that must be served at the cut entry, relative to the other one."""


class StrandedEntryTest(testtools.TestCase):
    def check_callers_of_cut_entry(self, cut):
        async def main():
            async with RunningSystem(entry_count=3) as system:
                await system.prepare()
                pool = system.route_entries[0].pool
                pool.close()
                pool.open_connection = cut
                await self.served_share(system, system.entries[0], CONTACT_S)
                shares = await asyncio.gather(
                    *(self.served_share(system, entry, LOAD_S) for entry in system.entries[:2])
                )
                assert shares[0] >= MIN_RELATIVE_SHARE * shares[1], shares
                del pool.open_connection
                await system.until(self.is_reachable, system.route_entries[0])
                ran = [item[0] for target in system.targets for item in target.ran]
                restored = await self.served_share(system, system.entries[0], LOAD_S / 4)
                assert restored == 1.0, restored
                assert len(ran) == len(set(ran)), len(ran) - len(set(ran))

        asyncio.run(main())

    @staticmethod
    async def is_reachable(entry):
        return not entry.reachability.is_lost

    @staticmethod
    async def served_share(system, entry, seconds):
        """Return the share of requests to one entry that are answered 200 within the objective."""
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        tasks = []
        while loop.time() < end:
            number = len(tasks)
            key = (number * 7_919) % 65_536
            method, path = ("POST", "/desk/x") if number % 3 == 0 else ("GET", "/ledger/x")
            tasks.append(
                loop.create_task(
                    system.request(method, path, key if path == "/ledger/x" else None, entry=entry)
                )
            )
            await asyncio.sleep(REQUEST_INTERVAL_S)
        answers = await asyncio.gather(*tasks)
        return sum(answer.status == 200 for answer in answers) / len(answers)

    def test_entry_whose_connections_to_targets_hang_serves_its_callers(self):
        """Guards against callers that are refused because of the entry that they reached (canopy-gate)."""

        async def hang(address):
            await asyncio.sleep(60)

        self.check_callers_of_cut_entry(hang)

    def test_entry_whose_connections_to_targets_are_refused_serves_its_callers(self):
        """Guards against callers that are refused because of the entry that they reached (canopy-gate)."""

        async def refuse(address):
            raise ConnectionRefusedError(address)

        self.check_callers_of_cut_entry(refuse)

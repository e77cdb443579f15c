"""A request that crashes its upstreams runs again after each planned restart of the leading control."""

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "standins2"))

from servers import Upstream, ask, configuration  # noqa: E402
from system import BOUND, ZONES, CannotRunError, Operator, System, main  # noqa: E402

HOST = "ficu95.example"
UPSTREAMS, BACK_AFTER_S = 6, 3.0
ORDERS_PER_S = 40.0
VISIT_INTERVAL_S, ATTEMPT_PAUSE_S, RESTARTS = 11.0, 1.5, 4
RESTART_AFTER_VISIT_S = 3.5


class Machine(Upstream):
    """Ends with all that it runs when it begins to run the crashing request; is back after seconds."""

    crashes: list = []

    async def _answer(self, method, path, headers, body):  # noqa: ANN001, ANN202
        if path == "/desk/poison" and headers.get("cranberrylever-target-instance") == self.id:
            at = self.system.record.now()
            self.crashes.append((at, headers["cranberrylever-request-id"]))
            text = f"begins the crashing request and ends; it is number {len(self.crashes)}"
            self.system.record.write(f"{self.id} {text}")
            self.stop()
            self.system.run(self._come_back())
            raise OSError("crashed")
        return await super()._answer(method, path, headers, body)

    async def _come_back(self) -> None:
        await asyncio.sleep(BACK_AFTER_S)
        number = int(self.address.split(":")[0].rsplit(".", 1)[1]) - 100
        successor = Machine(self.system, self.service, number, self.zone, self.work_s)
        successor.slots = self.slots
        successor.runs = self.runs
        await successor.start()


async def case(record, trouble: bool) -> bool:  # noqa: ANN001 - a Record
    """Run the case; return whether the rule was broken."""
    Machine.crashes = []
    async with System(record) as system:
        operator = Operator(system)
        upstreams = [Machine(system, "desk", number, ZONES[number % 3], 0.2) for number in range(UPSTREAMS)]
        for upstream in upstreams:
            await upstream.start()
        route = {"name": "r-1", "hostname": HOST, "path_prefix": "/desk/", "service": "desk"}
        plan = configuration(1, [{**route, "type": "unsafe"}], [("desk", False)])
        header = ("Content-Type: application/json", "Cranberrylever-Base-Version: 0")
        await operator.send("/Config.Put", None, plan, header, until_s=20)
        await system.wait_ready()
        await asyncio.sleep(2)

        orders, poison, disturbed = [], [], []

        async def clients() -> None:
            number = 0
            while True:
                number += 1
                entry = system.entries[number % len(system.entries)]
                order = ask(system, entry, HOST, f"/desk/{number}", "POST", b"order")
                orders.append(asyncio.create_task(order))
                await asyncio.sleep(1 / ORDERS_PER_S)

        async def crashing_client() -> None:
            """Send the same request again and again, two attempts each time, at any machine."""
            number = 0
            while True:
                for _ in range(2):
                    entry = system.entries[number % len(system.entries)]
                    number += 1
                    answer = await ask(system, entry, HOST, "/desk/poison", "POST", b"the same body")
                    poison.append(answer)
                    record.write(
                        f"the crashing request {answer.request_id} gets {answer.status or 'no answer'}"
                    )
                    await asyncio.sleep(ATTEMPT_PAUSE_S)
                await asyncio.sleep(VISIT_INTERVAL_S - 2 * ATTEMPT_PAUSE_S)

        load = system.run(clients())
        visits = system.run(crashing_client())
        started = record.now()
        for restart in range(RESTARTS):
            restart_at = started + restart * VISIT_INTERVAL_S + RESTART_AFTER_VISIT_S
            await asyncio.sleep(max(0, restart_at - record.now()))
            if not trouble:
                continue
            leader = await system.leader()
            begun = record.now()
            leader.bootstrap = False
            leader.send_signal(signal.SIGTERM)
            async with asyncio.timeout(BOUND["grace_s"]):
                await leader.process.wait()
            await leader.start()
            record.write(f"{leader.name} is started again")
            disturbed.append((begun, record.now() + BOUND["contact_s"]))
        await asyncio.sleep(max(0, started + (RESTARTS + 1) * VISIT_INTERVAL_S - 3 - record.now()))
        load.cancel()
        visits.cancel()
        done = await asyncio.gather(*orders)
        served = sum(answer.status == 200 for answer in done)
        record.write(f"{len(done)} orders sent, {served} served")
        if served < 0.7 * len(done):
            raise CannotRunError("too few requests were served")
        ran = {run.request_id: run for upstream in upstreams for run in upstream.runs}
        for run in ran.values():
            record.write(f"{run.upstream.address} ran {run.request_id} {run.path} at {run.at:.3f}")
        lost = [answer for answer in done if answer.status != 200 and answer.request_id in ran]
        record.write(f"{len(lost)} orders had begun to run and have no result")
        crashes = Machine.crashes
        record.write(f"the request has crashed {len(crashes)} upstreams")
        if len(crashes) < 2:
            raise CannotRunError("the crashing request did not run")
        third = crashes[2][0] if len(crashes) > 2 else float("inf")
        sent_at = {answer.request_id: answer.sent_at for answer in poison}
        counted = [
            at
            for at, request_id in crashes
            if sent_at.get(request_id, at) > third + BOUND["contact_s"]
            and not any(begin <= at <= end for begin, end in disturbed)
        ]
        text = f"{len(counted)} retries, in touch, over contact_s after the third crash; 3 are allowed"
        record.write(text)
        print(text)
        return len(counted) > 3


if __name__ == "__main__":
    main(case, str(Path(__file__).resolve().parent))

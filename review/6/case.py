"""After a kill of all processes ordinary requests are refused for minutes as if they crashed upstreams."""

import asyncio
import random
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "standins2"))

from servers import Upstream, ask, configuration  # noqa: E402
from system import BOUND, ZONES, CannotRunError, Operator, System, main  # noqa: E402

HOST = "ficu95.example"
PATHS = 6
RATE, DEADLINE_MS = 100.0, 3000
UPSTREAMS, SLOTS, QUEUE, WORK_S = 6, 2, 2, 0.1
DOWN_S = 1.4
rng = random.Random(10)


class FullUpstream(Upstream):
    """Runs SLOTS requests at once, queues QUEUE more and resets the connection of any beyond that."""

    def __init__(self, *args, **options) -> None:  # noqa: ANN002, ANN003
        super().__init__(*args, **options)
        self.slots = SLOTS
        self.free = asyncio.Semaphore(SLOTS)
        self.present = 0
        self.resets = []

    async def _answer(self, method, path, headers, body):  # noqa: ANN001, ANN202
        if not path.startswith("/look/"):
            return await super()._answer(method, path, headers, body)
        if self.present >= SLOTS + QUEUE:
            self.resets.append((self.system.record.now(), path))
            raise ConnectionResetError("full")
        self.present += 1
        try:
            async with self.free:
                return await super()._answer(method, path, headers, body)
        finally:
            self.present -= 1


async def case(record, trouble: bool) -> bool:  # noqa: ANN001 - a Record
    """Run the case; return whether the rule was broken."""
    async with System(record, entries=6) as system:
        operator = Operator(system)
        upstreams = [
            FullUpstream(system, "desk", number, ZONES[number % 3], WORK_S) for number in range(UPSTREAMS)
        ]
        for upstream in upstreams:
            await upstream.start()
        route = {"name": "r-1", "hostname": HOST, "path_prefix": "/look/", "service": "desk"}
        plan = configuration(1, [{**route, "timeout_s": 3.0}], [("desk", False)])
        header = ("Content-Type: application/json", "Cranberrylever-Base-Version: 0")
        await operator.send("/Config.Put", None, plan, header, until_s=20)
        await system.wait_ready()
        await asyncio.sleep(3)
        requests = []

        async def request(path: str) -> None:
            """One request of a client, which comes again within its deadline, three times at most."""
            started = record.now()
            sent = [started]
            while True:
                left = DEADLINE_MS - (record.now() - started) * 1000
                if left < 100 or len(sent) > 3:
                    break
                answer = await ask(system, rng.choice(system.entries), HOST, path, deadline_ms=int(left))
                if answer.status == 200:
                    requests.append((started, path, 200))
                    return
                sent.append(record.now())
                wait = float(answer.headers.get("retry-after", 0.05)) if answer.status == 503 else 0.5
                if wait > left / 3000:
                    break
                await asyncio.sleep(wait)
            text = answer.body.decode("utf-8", "replace") if answer.status == 503 else ""
            requests.append((started, path, f"{answer.status or 'no answer'} {text}".strip()))

        tasks = []

        async def clients() -> None:
            number = 0
            while True:
                number += 1
                tasks.append(asyncio.create_task(request(f"/look/{number % PATHS}")))
                await asyncio.sleep(1 / RATE)

        load = system.run(clients())
        await asyncio.sleep(6)
        killed_at = record.now()
        if trouble:
            machines = (*system.controls, *system.entries)
            for machine in machines:
                machine.send_signal(signal.SIGKILL)
            for machine in machines:
                await machine.process.wait()
            await asyncio.sleep(DOWN_S)
            for machine in machines:
                machine.bootstrap = False
                await machine.start()
        back_at = record.now()
        await asyncio.sleep(BOUND["recover_s"] + 20)
        load.cancel()
        await asyncio.gather(*tasks)
        before = [status for at, _, status in requests if at < killed_at]
        after = [status for at, _, status in requests if at > back_at + BOUND["recover_s"]]
        for at, path, status in sorted(requests, key=lambda item: item[0]):
            record.write(f"sent at {at:.3f} {path}: {status}")
        for upstream in upstreams:
            for at, path in upstream.resets:
                record.write(f"{upstream.id} was full and reset the connection of {path} at {at:.3f}")
        share_before = before.count(200) / len(before)
        share = after.count(200) / len(after)
        refused = sum("identical requests have crashed targets" in str(status) for status in after)
        record.write(f"{refused} of {len(after)} sent after that were refused as ones that crash upstreams")
        text = f"served before {share_before:.3f}, over recover_s after the machines are back {share:.3f}"
        record.write(text)
        print(text)
        if share_before < 0.25:
            raise CannotRunError("too few requests were served before")
        return share < 0.25


if __name__ == "__main__":
    main(case, str(Path(__file__).resolve().parent))

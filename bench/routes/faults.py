"""Random faults against the processes and links of a soak; several may be under way at once."""

import asyncio
import random
import signal

import attrs

from bench.relay import Relay
from bench.routes.cluster import DOMAINS, SoakCluster, route_plan
from bench.routes.target import SoakTarget

PAUSE_S = (0.2, 1.5)
LENGTH_S = (0.3, 3.0)
DELAY_S = (0.02, 0.3)
DOWN_S = (0.1, 1.5)
REPAIR_S = 6.0
"""Time after the loss of a folder for which no other member is harmed: the group repairs itself."""


@attrs.define(eq=False)
class RouteFaults:
    """Injects faults from a seed.

    Control members are harmed one at a time, as one loss is tolerated; entries, targets and links at will.

    Attributes:
        history: Faults in order, for the report.
        harmed_until: Loop time until which something may be out of touch.
        withdrawn: Time of the acknowledgement by withdrawn failure domain.
    """

    cluster: SoakCluster
    random: random.Random
    history: list[str] = attrs.field(factory=list)
    harmed_until: float = 0.0
    withdrawn: dict[str, float] = attrs.field(factory=dict)
    member_free_at: float = 0.0
    tasks: set[asyncio.Task[None]] = attrs.field(factory=set)

    async def run(self, seconds: float) -> None:
        """Inject faults for a time, then wait until all are repaired."""
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        kinds = (
            self.harm_member,
            self.harm_member,
            self.harm_entry,
            self.crash_target,
            self.freeze_target,
            self.drain_target,
            self.harm_link,
            self.harm_link,
            self.change_plan,
            self.move_domain,
        )
        while loop.time() < end:
            await asyncio.sleep(self.random.uniform(*PAUSE_S))
            kind = self.random.choice(kinds)
            task = loop.create_task(kind())
            self.tasks.add(task)
        for result in await asyncio.gather(*self.tasks, return_exceptions=True):
            if isinstance(result, BaseException):
                raise result

    def note(self, text: str, length: float) -> None:
        """Add a fault that lasts for ``length`` seconds to the history."""
        now = asyncio.get_running_loop().time()
        self.history.append(f"{now:.2f} {text} for {length:.2f} s")
        self.harmed_until = max(self.harmed_until, now + length)

    async def harm_member(self) -> None:
        """Kill, stop, pause or cut one control member, or take its folder away."""
        now = asyncio.get_running_loop().time()
        if now < self.member_free_at:
            return
        member = self.random.choice(self.cluster.members)
        length = self.random.uniform(*LENGTH_S)
        way = self.random.choice(("kill", "stop", "pause", "cut", "cut back", "folder"))
        self.member_free_at = now + length + REPAIR_S
        self.note(f"{way} {member.process.name}", length)
        if way == "pause":
            member.process.pause()
            await asyncio.sleep(length)
            member.process.resume()
        elif way in ("cut", "cut back"):
            await self._cut(member.relay, way, length)
        else:
            if way == "stop":
                await member.process.terminate()
            else:
                await member.process.kill()
            if way == "folder":
                member.lose_folder()
            await asyncio.sleep(length)
            await member.start()
        self.member_free_at = asyncio.get_running_loop().time() + REPAIR_S

    async def harm_entry(self) -> None:
        """Pause, kill or stop an entry; a stopped or killed one starts again."""
        process, _ = self.random.choice(self.cluster.entries)
        if not process.running():
            return
        length = self.random.uniform(*DOWN_S)
        way = self.random.choice(("pause", "kill", "stop"))
        self.note(f"{way} {process.name}", length)
        if way == "pause":
            process.pause()
            await asyncio.sleep(length)
            process.resume()
            return
        if way == "kill":
            await process.kill()
        else:
            process.resume()
            process.signal(signal.SIGTERM)
            await process.process.wait()
        await asyncio.sleep(length)
        if not process.running():
            await process.start()

    def _sound_target(self) -> SoakTarget | None:
        sound = [item for item in self.cluster.targets if item.server.is_serving() and not item.draining]
        return self.random.choice(sound) if len(sound) > 2 else None

    async def crash_target(self) -> None:
        """End a target without a word; it returns in a new life."""
        target = self._sound_target()
        if target is None:
            return
        length = self.random.uniform(*DOWN_S)
        self.note(f"crash {target.name}", length)
        await target.crash()
        await asyncio.sleep(length)
        await target.start()

    async def freeze_target(self) -> None:
        """Let a target stand still and go on as if nothing had happened."""
        target = self._sound_target()
        if target is None:
            return
        length = self.random.uniform(*LENGTH_S)
        self.note(f"freeze {target.name}", length)
        target.thawed.clear()
        await asyncio.sleep(length)
        target.thawed.set()

    async def drain_target(self) -> None:
        """Let a target announce that it leaves, end and return."""
        target = self._sound_target()
        if target is None:
            return
        length = self.random.uniform(2.0, 3.0)
        self.note(f"drain {target.name}", length)
        target.draining = True
        await asyncio.sleep(length)
        await target.crash()
        await target.start()

    async def harm_link(self) -> None:
        """Delay, reset, cut or silence the link to a target."""
        target = self.random.choice(self.cluster.targets)
        length = self.random.uniform(*LENGTH_S)
        way = self.random.choice(("delay", "reset", "silence", "cut", "cut back"))
        self.note(f"{way} link to {target.name}", length)
        if way == "reset":
            target.relay.reset()
        elif way == "silence":
            target.relay.silence()
        elif way == "delay":
            target.relay.delay = self.random.uniform(*DELAY_S)
            await asyncio.sleep(length)
            target.relay.heal()
        else:
            await self._cut(target.relay, way, length)

    @staticmethod
    async def _cut(relay: Relay, way: str, length: float) -> None:
        if way == "cut":
            relay.cut()
        else:
            relay.cut_back()
        await asyncio.sleep(length)
        relay.heal()

    async def change_plan(self) -> None:
        """Put the next plan in force; two changes never run at once, so each is known to hold or not."""
        number = self.cluster.plan + 1
        plan = route_plan(number, 2.0 + number / 1000)
        if await self.cluster.put_plan(plan, self.cluster.plan):
            self.cluster.plan = max(self.cluster.plan, number)

    async def move_domain(self) -> None:
        """Withdraw a failure domain for a while."""
        if self.withdrawn:
            return
        domain = self.random.choice(DOMAINS)
        self.withdrawn[domain] = float("inf")
        if await self.cluster.order_domain(domain, "withdraw"):
            self.withdrawn[domain] = asyncio.get_running_loop().time()
            self.history.append(f"{self.withdrawn[domain]:.2f} withdraw {domain}")
            await asyncio.sleep(self.random.uniform(2.0, 6.0))
        while not await self.cluster.order_domain(domain, "restore"):
            await asyncio.sleep(0.2)
        del self.withdrawn[domain]

"""Random faults in the processes and links of a soak test; several may be active at once."""

import asyncio
import random
import signal

import attrs

from bench.relay import Relay
from bench.routes.cluster import FAILURE_DOMAINS, TOLERATED_MEMBERS, Member, SoakCluster
from bench.routes.target import SoakTarget

# Each pair is the range from which a random time is drawn.
FAULT_INTERVAL_S = (0.2, 1.5)
FAULT_DURATION_S = (0.3, 3.0)
LONG_PAUSE_S = (5.5, 7.0)
LINK_DELAY_S = (0.02, 0.3)
DOWNTIME_S = (0.1, 1.5)
SLOW_LINK_BYTES_PER_S = 100_000.0
LIMIT_DURATION_S = (5.0, 9.0)
REPEAT_DURATION_S = (2.0, 5.0)
REJECTED_SHARE = 0.2
REPEATED_SHARE = 0.3
RATE_LIMITS_PER_S = (0.5, 1.4, 4.0)
REPAIR_TIME_S = 6.0
"""Time after a fault of a control member for which it still counts as lost, so that it can rejoin."""


@attrs.define(eq=False)
class RouteFaults:
    """Injects faults from a seeded random source.

    No more control members have a fault at a time than the cluster tolerates. Entries, targets and links
    have faults independently of each other.

    Attributes:
        history: Faults in order, for the report of problems.
        disrupted_until: Loop time until which a process or link may be unreachable.
        withdrawn: Loop time of the acknowledged withdrawal, by failure domain.
    """

    cluster: SoakCluster
    random: random.Random
    history: list[str] = attrs.field(factory=list)
    disrupted_until: float = 0.0
    withdrawn: dict[str, float] = attrs.field(factory=dict)
    lost_members: set[str] = attrs.field(factory=set)
    tasks: set[asyncio.Task[None]] = attrs.field(factory=set)

    async def run(self, seconds: float) -> None:
        """Inject faults for ``seconds``, then wait until all are repaired."""
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        kinds = (
            self.disrupt_member,
            self.disrupt_member,
            self.lose_folders,
            self.disrupt_entry,
            self.crash_target,
            self.freeze_target,
            self.drain_target,
            self.limit_target,
            self.repeat_answers,
            self.disrupt_link,
            self.disrupt_link,
            self.change_plan,
            self.withdraw_domain,
        )
        while loop.time() < end:
            await asyncio.sleep(self.random.uniform(*FAULT_INTERVAL_S))
            kind = self.random.choice(kinds)
            task = loop.create_task(kind())
            self.tasks.add(task)
        for result in await asyncio.gather(*self.tasks, return_exceptions=True):
            if isinstance(result, BaseException):
                raise result

    def record(self, text: str, duration: float) -> None:
        """Add a fault that lasts for ``duration`` seconds to the history."""
        now = asyncio.get_running_loop().time()
        self.history.append(f"{now:.2f} {text} for {duration:.2f} s")
        self.disrupted_until = max(self.disrupted_until, now + duration)

    def take_members(self, count: int) -> list[Member]:
        """Return ``count`` members without a fault and count them as lost, none if that would be too many."""
        sound = [item for item in self.cluster.members if item.process.name not in self.lost_members]
        if len(self.lost_members) + count > TOLERATED_MEMBERS:
            return []
        taken = self.random.sample(sound, count)
        self.lost_members |= {member.process.name for member in taken}
        return taken

    async def return_members(self, members: list[Member]) -> None:
        """Count members as sound again after the time that they need to rejoin."""
        await asyncio.sleep(REPAIR_TIME_S)
        self.lost_members -= {member.process.name for member in members}

    async def disrupt_member(self) -> None:
        """Kill, stop, pause, cut off or slow a control member, or remove its data directory."""
        members = self.take_members(1)
        if not members:
            return
        (member,) = members
        duration = self.random.uniform(*FAULT_DURATION_S)
        action = self.random.choice(
            ("kill", "stop", "pause", "long pause", "cut", "cut back", "slow", "folder")
        )
        if action == "long pause":
            duration = self.random.uniform(*LONG_PAUSE_S)
        self.record(f"{action} {member.process.name}", duration)
        if action in ("pause", "long pause"):
            member.process.pause()
            await asyncio.sleep(duration)
            member.process.resume()
        elif action in ("cut", "cut back"):
            await self._cut(member.relay, action, duration)
        elif action == "slow":
            member.relay.bytes_per_s = SLOW_LINK_BYTES_PER_S
            await asyncio.sleep(duration)
            member.relay.heal()
        else:
            if action == "stop":
                await member.process.terminate()
            else:
                await member.process.kill()
            if action == "folder":
                member.remove_data_dir()
            await asyncio.sleep(duration)
            await member.start()
        await self.return_members(members)

    async def lose_folders(self) -> None:
        """Kill as many control members as are tolerated and remove their data directories."""
        members = self.take_members(TOLERATED_MEMBERS)
        if not members:
            return
        duration = self.random.uniform(*DOWNTIME_S)
        self.record(f"folders of {', '.join(member.process.name for member in members)}", duration)
        for member in members:
            await member.process.kill()
            member.remove_data_dir()
        await asyncio.sleep(duration)
        for member in members:
            await member.start()
        await self.return_members(members)

    async def disrupt_entry(self) -> None:
        """Pause, kill or stop an entry; a stopped or killed entry is restarted."""
        process, _ = self.random.choice(self.cluster.entries)
        if not process.running():
            return
        duration = self.random.uniform(*DOWNTIME_S)
        action = self.random.choice(("pause", "kill", "stop"))
        self.record(f"{action} {process.name}", duration)
        if action == "pause":
            process.pause()
            await asyncio.sleep(duration)
            process.resume()
            return
        if action == "kill":
            await process.kill()
        else:
            process.resume()
            process.signal(signal.SIGTERM)
            await process.process.wait()
        await asyncio.sleep(duration)
        if not process.running():
            await process.start()

    def _healthy_target(self) -> SoakTarget | None:
        healthy = [item for item in self.cluster.targets if item.server.is_serving() and not item.draining]
        return self.random.choice(healthy) if len(healthy) > 2 else None

    async def crash_target(self) -> None:
        """Crash a target without deregistration and restart it as a new incarnation."""
        target = self._healthy_target()
        if target is None:
            return
        duration = self.random.uniform(*DOWNTIME_S)
        self.record(f"crash {target.name}", duration)
        await target.crash()
        await asyncio.sleep(duration)
        await target.start()

    async def freeze_target(self) -> None:
        """Freeze a target and resume it with its state unchanged."""
        target = self._healthy_target()
        if target is None:
            return
        duration = self.random.uniform(*FAULT_DURATION_S)
        self.record(f"freeze {target.name}", duration)
        target.resumed.clear()
        await asyncio.sleep(duration)
        target.resumed.set()

    async def drain_target(self) -> None:
        """Let a target announce that it drains, stop and restart."""
        target = self._healthy_target()
        if target is None:
            return
        duration = self.random.uniform(2.0, 3.0)
        self.record(f"drain {target.name}", duration)
        target.draining = True
        await asyncio.sleep(duration)
        await target.crash()
        await target.start()

    async def limit_target(self) -> None:
        """Let a target state a rate limit with its answers for some seconds."""
        target = self._healthy_target()
        if target is None or target.rate_limit:
            return
        duration = self.random.uniform(*LIMIT_DURATION_S)
        rate = self.random.choice(RATE_LIMITS_PER_S)
        now = asyncio.get_running_loop().time()
        self.history.append(f"{now:.2f} {target.name} states a limit of {rate} a second for {duration:.2f} s")
        target.limit_rate(rate)
        await asyncio.sleep(duration)
        target.limit_rate(0.0)

    async def repeat_answers(self) -> None:
        """Let a target reject some requests and send some answers a second time, late, for some seconds."""
        target = self._healthy_target()
        if target is None:
            return
        duration = self.random.uniform(*REPEAT_DURATION_S)
        now = asyncio.get_running_loop().time()
        self.history.append(f"{now:.2f} {target.name} rejects and repeats for {duration:.2f} s")
        target.rejected_share, target.repeated_share = REJECTED_SHARE, REPEATED_SHARE
        await asyncio.sleep(duration)
        target.rejected_share = target.repeated_share = 0.0

    async def disrupt_link(self) -> None:
        """Delay, reset, silence or cut the link to a target."""
        target = self.random.choice(self.cluster.targets)
        duration = self.random.uniform(*FAULT_DURATION_S)
        action = self.random.choice(("delay", "reset", "silence", "cut", "cut back"))
        self.record(f"{action} link to {target.name}", duration)
        if action == "reset":
            target.relay.reset()
        elif action == "silence":
            target.relay.silence()
        elif action == "delay":
            target.relay.delay = self.random.uniform(*LINK_DELAY_S)
            await asyncio.sleep(duration)
            target.relay.heal()
        else:
            await self._cut(target.relay, action, duration)

    @staticmethod
    async def _cut(relay: Relay, action: str, duration: float) -> None:
        if action == "cut":
            relay.cut()
        else:
            relay.cut_back()
        await asyncio.sleep(duration)
        relay.heal()

    async def change_plan(self) -> None:
        """Submit the next plan; two changes never run at once, so it is known whether each was accepted."""
        number = self.cluster.plan_number + 1
        plan = self.cluster.plan(number, 2.0 + number / 1000)
        if await self.cluster.put_next_plan(plan, self.cluster.plan_number):
            self.cluster.plan_number = max(self.cluster.plan_number, number)

    async def withdraw_domain(self) -> None:
        """Withdraw a failure domain for 2 to 6 seconds; at most one is withdrawn at a time."""
        if self.withdrawn:
            return
        domain = self.random.choice(FAILURE_DOMAINS)
        self.withdrawn[domain] = float("inf")
        if await self.cluster.change_domain(domain, "withdraw"):
            self.withdrawn[domain] = asyncio.get_running_loop().time()
            self.history.append(f"{self.withdrawn[domain]:.2f} withdraw {domain}")
            await asyncio.sleep(self.random.uniform(2.0, 6.0))
        while not await self.cluster.change_domain(domain, "restore"):
            await asyncio.sleep(0.2)
        del self.withdrawn[domain]

"""Time from the loss of a target together with the control leader until all its keys are served again."""

import asyncio

from bench.cluster import Cluster, open_cluster
from bench.figure import Figure, at_most, percentile
from bench.owner_loss import measure_kill
from bench.scenario import Layout, find_owner, find_owners, start_layout, wait_until_balanced

BOUND_SECONDS = 2.0


async def run(kills: int = 10) -> list[Figure]:
    """Measure ``kills`` double losses; the baseline is the loss of a target alone in the same cluster."""
    layout = Layout(entries=2, keyed=5, keys=60)
    async with open_cluster() as cluster:
        await start_layout(cluster, layout)
        times = [await measure_double_kill(cluster, layout, number) for number in range(kills)]
        single = [await measure_kill(cluster, layout, number) for number in range(3)]
    note = f"{kills} kills, median {percentile(times, 0.5):.3f} s; baseline: the target alone"
    return [at_most("double_loss", max(times), "s", BOUND_SECONDS, percentile(single, 0.99), note)]


async def measure_double_kill(cluster: Cluster, layout: Layout, number: int) -> float:
    """Kill a target and the control leader at once; returns the seconds until its keys are served."""
    now = asyncio.get_running_loop().time
    owners = await find_owners(cluster, layout)
    target_id = f"k{number % layout.keyed}"
    keys = [key for key, owner in owners.items() if owner == target_id]
    leader = await cluster.wait_for_leader()
    killed = now()
    await asyncio.gather(cluster.targets[target_id].kill(), cluster.control[leader].kill())
    await asyncio.gather(*(find_owner(cluster, key) for key in keys))
    elapsed = now() - killed
    await cluster.start_member(leader)
    await cluster.restart_target(target_id)
    await wait_until_balanced(cluster, layout)
    return elapsed

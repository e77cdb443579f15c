"""Time from the kill of a target until all its keys are served again."""

import asyncio

from bench.cluster import Cluster, open_cluster
from bench.figure import Figure, at_most, percentile
from bench.scenario import Layout, find_owner, find_owners, start_layout, wait_until_balanced

BOUND_SECONDS = 2.0
BASELINE_KILLS = 3


async def run(kills: int = 30) -> list[Figure]:
    """Measure ``kills`` kills.

    The baseline is a static mapping: the killed process is started again at once and serves its own keys.
    """
    layout = Layout(entries=2, keyed=5, keys=60)
    async with open_cluster() as cluster:
        await start_layout(cluster, layout)
        times = []
        for number in range(kills):
            times.append(await measure_kill(cluster, layout, number))
        restarts = [await measure_restart(cluster, f"k{number}") for number in range(BASELINE_KILLS)]
    note = f"{kills} kills, median {percentile(times, 0.5):.3f} s; baseline: restart under a static mapping"
    return [
        at_most("owner_loss", percentile(times, 0.99), "s", BOUND_SECONDS, percentile(restarts, 0.99), note)
    ]


async def measure_kill(cluster: Cluster, layout: Layout, number: int) -> float:
    """Kill one target; returns the seconds until each of its keys has been served by another target."""
    now = asyncio.get_running_loop().time
    owners = await find_owners(cluster, layout)
    target_id = f"k{number % layout.keyed}"
    keys = [key for key, owner in owners.items() if owner == target_id]
    await cluster.targets[target_id].kill()
    killed = now()
    await asyncio.gather(*(find_owner(cluster, key) for key in keys))
    elapsed = now() - killed
    await cluster.restart_target(target_id)
    await wait_until_balanced(cluster, layout)
    return elapsed


async def measure_restart(cluster: Cluster, target_id: str) -> float:
    """Kill a target and start it at once; returns the seconds until its process answers."""
    now = asyncio.get_running_loop().time
    await cluster.targets[target_id].kill()
    killed = now()
    await cluster.restart_target(target_id)
    return now() - killed

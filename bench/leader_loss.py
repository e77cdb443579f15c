"""Kill of the control leader: failed requests and time to the next accepted ticket."""

import asyncio

from bench.cluster import Cluster, open_cluster, service_text
from bench.figure import Figure, at_most, percentile
from bench.load import LoadGenerator
from bench.scenario import Layout, failed_outcomes, mixed_request, start_layout

BOUND_SECONDS = 2.0
BOUND_FAILED = 0
RATE = 150.0
ROUND_SECONDS = 6.0
BASELINE_ROUNDS = 2


async def run(kills: int = 10) -> list[Figure]:
    """Measure ``kills`` kills of the leader under load.

    The baseline is one control member without replicas, which is restarted immediately after each kill.
    """
    failed, times = await measure(3, kills)
    baseline_failed, baseline_times = await measure(1, BASELINE_ROUNDS)
    note = f"{kills} kills at {RATE:g} requests/s; baseline: one member, restarted at once"
    per_kill = baseline_failed * kills / BASELINE_ROUNDS
    return [
        at_most("leader_loss_failed", failed, "", BOUND_FAILED, per_kill, note),
        at_most(
            "leader_loss_ticket",
            max(times),
            "s",
            BOUND_SECONDS,
            max(baseline_times),
            f"median {percentile(times, 0.5):.3f} s",
        ),
    ]


async def measure(members: int, kills: int) -> tuple[int, list[float]]:
    """Return failed requests and the time to the next accepted ticket of each kill."""
    layout = Layout(entries=2, keyed=3, pooled=2)
    failed = 0
    times = []
    async with open_cluster(members=members) as cluster:
        await start_layout(cluster, layout)
        for _ in range(kills):
            generator = LoadGenerator(
                cluster.started_entry_addresses(), lambda number: mixed_request(layout, number)
            )
            load = asyncio.create_task(generator.run_open(RATE, ROUND_SECONDS))
            await asyncio.sleep(1)
            times.append(await kill_leader(cluster))
            result = await load
            failed += failed_outcomes(result.outcomes)
    return failed, times


async def kill_leader(cluster: Cluster) -> float:
    """Kill the leader, submit a ticket, and start the member again.

    Returns:
        Seconds from the kill to the answer that accepts the ticket.
    """
    now = asyncio.get_running_loop().time
    leader = await cluster.wait_for_leader()
    await cluster.control[leader].kill()
    killed = now()
    has_replicas = len(cluster.peers) > 1
    if not has_replicas:
        await cluster.start_member(leader)
    ticket = await cluster.submit(service_text("spare", "pooled"))
    if has_replicas:
        await cluster.start_member(leader)
    return ticket.accepted - killed

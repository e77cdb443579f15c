"""Ratio of the peak of concurrent requests at a cold target to its declared capacity, with ten entries."""

from bench.cluster import Cluster, open_cluster
from bench.figure import Figure, at_most
from bench.load import LoadGenerator, LoadRequest
from bench.scenario import POOLED_SERVICE, Layout, start_layout

BOUND_RATIO = 1.0
ENTRIES = 10
WARM_TARGETS = 5
SLOTS = 3
SERVICE_MS = 20.0
# 80% of the capacity of the warm targets.
RATE = 0.8 * WARM_TARGETS * SLOTS * 1000 / SERVICE_MS
WARMUP_REQUESTS = 200
# Duration of the load of one join.
SETTLE_SECONDS = 8.0


async def run(rounds: int = 5) -> list[Figure]:
    """Start a cold target under load, ``rounds`` times; its cold capacity is 1 and 2 in turn.

    The baseline sends to all targets directly in turn (round robin), without permits.
    """
    layout = Layout(entries=ENTRIES, keyed=0, pooled=WARM_TARGETS, target={"slots": SLOTS})
    async with open_cluster() as cluster:
        await start_layout(cluster, layout)
        ratios = []
        started = []
        for number in range(rounds):
            report = await measure_join(
                cluster, f"cold{number}", 1 + number % 2, cluster.started_entry_addresses()
            )
            ratios.append(report[0])
            started.append(report[1])
        baseline, _ = await measure_join(cluster, "cold-baseline", 1, None)
    note = f"{rounds} joins, at least {min(started)} requests run by each cold target; baseline: round robin"
    return [at_most("cold_peak", max(ratios), "", BOUND_RATIO, baseline, note)]


async def measure_join(
    cluster: Cluster, target_id: str, capacity: int, entries: list[str] | None
) -> tuple[float, int]:
    """Start a cold target under load.

    Args:
        cluster: The cluster.
        target_id: Id of the new target.
        capacity: Its declared cold capacity.
        entries: Entries to send to; ``None`` sends to all targets directly.

    Returns:
        The ratio of the peak of concurrent requests while cold to the capacity, and the number of requests
        that the target ran.
    """
    load = LoadGenerator(
        entries or [], lambda number: LoadRequest("GET", f"/{POOLED_SERVICE}/q?n={number}&ms={SERVICE_MS:g}")
    )
    await cluster.start_target(
        target_id,
        POOLED_SERVICE,
        "a",
        slots=SLOTS,
        cold_capacity=capacity,
        starts_cold=True,
        warmup_requests=WARMUP_REQUESTS,
    )
    address = cluster.target_settings[target_id].listen
    if entries is None:
        load.addresses = [
            settings.listen
            for name, settings in cluster.target_settings.items()
            if cluster.targets[name].running()
        ]
    await load.run_open(RATE, SETTLE_SECONDS)
    report = await cluster.get_json(address, "/-/runs")
    await cluster.targets[target_id].kill()
    return report["cold_peak"] / capacity, report["started"]

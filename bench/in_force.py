"""Time from the acceptance of a ticket until it is in force on ten entries."""

import asyncio
import json
import time

from bench.cluster import Cluster, open_cluster, service_text
from bench.figure import Figure, at_most, percentile
from bench.scenario import Layout, start_layout

BOUND_SECONDS = 1.0
ENTRIES = 10
TICKET_INTERVAL_SECONDS = 0.2
# The log of an entry is written every 100 ms; the time in a line is that of the event.
LOG_DELAY_SECONDS = 3.0


async def run(tickets: int = 100) -> list[Figure]:
    """Submit ``tickets`` tickets one after another and read from each entry's log when it applied them.

    The time is measured from the submission, which is before the acceptance. The baseline restarts the
    entries one after another, as programs that read their configuration only at start require.
    """
    layout = Layout(entries=ENTRIES, keyed=3, pooled=2)
    async with open_cluster() as cluster:
        await start_layout(cluster, layout)
        submitted: dict[int, float] = {}
        for number in range(tickets):
            begin = time.time()
            ticket = await cluster.submit(service_text("spare", "pooled", deadline_ms=1000 + number))
            submitted[ticket.answer["index"]] = begin
            await asyncio.sleep(TICKET_INTERVAL_SECONDS)
        await asyncio.sleep(LOG_DELAY_SECONDS)
        applied = [applied_views(cluster, entry_id) for entry_id in cluster.entries]
        times = [time_in_force(index, begin, applied) for index, begin in submitted.items()]
        baseline = await rolling_restart(cluster)
    note = (
        f"{tickets} tickets, median {percentile(times, 0.5):.3f} s; baseline: rolling restart of the entries"
    )
    return [at_most("in_force", percentile(times, 0.99), "s", BOUND_SECONDS, baseline, note)]


def applied_views(cluster: Cluster, entry_id: str) -> list[tuple[int, float]]:
    """Return the version and wall-clock time of each view that an entry applied, read from its log."""
    applied = []
    for path in (cluster.folder / f"{entry_id}.log", cluster.folder / f"{entry_id}.out"):
        if not path.exists():
            continue
        for line in path.read_text(errors="replace").splitlines():
            if '"view_applied"' in line:
                fields = json.loads(line)
                applied.append((fields["version"], fields["timestamp"]))
    return applied


def time_in_force(index: int, begin: float, applied: list[list[tuple[int, float]]]) -> float:
    """Return the seconds until the last entry applied a view at or after a log index."""
    return (
        max(min((at for version, at in views if version >= index), default=float("inf")) for views in applied)
        - begin
    )


async def rolling_restart(cluster: Cluster) -> float:
    """Restart all entries one after another; returns the duration in seconds."""
    now = asyncio.get_running_loop().time
    begin = now()
    for entry_id in list(cluster.entries):
        await cluster.entries[entry_id].terminate()
        await cluster.start_entry(entry_id)
    return now() - begin

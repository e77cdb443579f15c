"""Slopes of a control process: processor time and memory by targets and entries."""

import asyncio
import os
from collections.abc import Iterable
from pathlib import Path
from typing import Any

from bench.cluster import CLUSTER_ID, Cluster, open_cluster, service_text
from bench.fit import Slope, fit
from bench.processes import free_address
from cranberrylever.entry import create_entry
from cranberrylever.settings import EntrySettings, LogSettings, TargetSettings
from cranberrylever.target import create_target

TARGETS = (5, 20, 60)
ENTRIES = (2, 8, 24)
MEASUREMENT_S = 6.0
SETTLE_S = 4.0
CLOCK_TICKS = os.sysconf("SC_CLK_TCK")


async def run() -> list[Slope]:
    """Measure a single control member; its targets and entries run in this process."""
    by_targets = [(count, await measure(targets=count, entries=0)) for count in TARGETS]
    by_entries = [(count, await measure(targets=0, entries=count)) for count in ENTRIES]
    return [
        fit("control_cpu_by_targets", "% of a core", "target", column(by_targets, 0)),
        fit("control_memory_by_targets", "KB", "target", column(by_targets, 1)),
        fit("control_cpu_by_entries", "% of a core", "entry", column(by_entries, 0)),
        fit("control_memory_by_entries", "KB", "entry", column(by_entries, 1)),
    ]


def column(rows: Iterable[tuple[int, tuple[float, float]]], number: int) -> list[tuple[float, float]]:
    """Return the points of one measured value."""
    return [(size, values[number]) for size, values in rows]


async def measure(targets: int, entries: int) -> tuple[float, float]:
    """Return the processor share (percent of a core) and resident memory (KB) of the control process."""
    async with open_cluster(members=1) as cluster:
        await cluster.start_control()
        await cluster.submit(service_text("project-ledger", "keyed", shards=1024))
        programs = [
            *(create_target(target_settings(cluster, number)) for number in range(targets)),
            *(create_entry(entry_settings(cluster, number)) for number in range(entries)),
        ]
        await asyncio.gather(*(program.start() for program in programs))
        await asyncio.sleep(SETTLE_S)
        pid = cluster.control["c1"].process.pid
        begin = processor_seconds(pid)
        await asyncio.sleep(MEASUREMENT_S)
        share = (processor_seconds(pid) - begin) / MEASUREMENT_S * 100
        memory = resident_kb(pid)
        await asyncio.gather(*(stop(program) for program in programs))
        return share, memory


async def stop(program: Any) -> None:
    """Stop a target or an entry without draining it."""
    await (program.stop() if hasattr(program, "stop") else program.close())


def target_settings(cluster: Cluster, number: int) -> TargetSettings:
    """Return the settings of one target."""
    return TargetSettings(
        target_id=f"t{number}",
        service="project-ledger",
        listen="127.0.0.1:0",
        control=tuple(peer.http for peer in cluster.peers),
        failure_domain="a",
        log=error_log_settings(cluster),
    )


def entry_settings(cluster: Cluster, number: int) -> EntrySettings:
    """Return the settings of one entry."""
    return EntrySettings(
        cluster_id=CLUSTER_ID,
        entry_id=f"e{number}",
        listen=free_address(),
        control=tuple(peer.rpc for peer in cluster.peers),
        drain_delay=0.0,
        log=error_log_settings(cluster),
    )


def error_log_settings(cluster: Cluster) -> LogSettings:
    """Return log settings that write only errors to the cluster's folder."""
    return LogSettings(destination=str(cluster.folder / "slopes.log"), level="error")


def processor_seconds(pid: int) -> float:
    """Return the user and system time of a process in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS


def resident_kb(pid: int) -> float:
    """Return the resident memory of a process in KB."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return float(line.split()[1])
    return 0.0

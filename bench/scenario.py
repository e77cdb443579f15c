"""Cluster layouts and requests of benchmarks and process tests."""

import asyncio
from typing import Any

import aiohttp
import attrs

from bench.cluster import Cluster, failure_domain_text, service_text
from bench.load import DONE, LoadRequest, read_identity

KEYED_SERVICE = "project-ledger"
POOLED_SERVICE = "materials-desk"
SERVED_TIMEOUT_SECONDS = 40.0
POLL_INTERVAL_SECONDS = 0.02


@attrs.frozen
class Layout:
    """Size of a cluster; its instances are assigned to the failure domains in turn.

    ``keyed`` and ``pooled`` are numbers of targets, ``keys`` is the number of keys that requests use, and
    ``target`` contains settings of every target.
    """

    entries: int = 2
    failure_domains: tuple[str, ...] = ("a", "b", "c")
    keyed: int = 3
    pooled: int = 0
    shards: int = 64
    keys: int = 60
    target: dict[str, Any] = attrs.field(factory=dict)

    def key(self, number: int) -> str:
        """Return the key for a number."""
        return f"build-{number % self.keys}"


async def start_layout(cluster: Cluster, layout: Layout) -> None:
    """Start control, entries and targets, configure the services and wait until every key is served."""
    await cluster.start_control()
    ticket = "".join(failure_domain_text(name) for name in layout.failure_domains)
    if layout.keyed:
        ticket += service_text(KEYED_SERVICE, "keyed", shards=layout.shards)
    if layout.pooled:
        ticket += service_text(POOLED_SERVICE, "pooled")
    await cluster.submit(ticket)
    await asyncio.gather(
        *(cluster.start_entry(f"e{number}", domain_of(layout, number)) for number in range(layout.entries)),
        *(
            cluster.start_target(f"k{number}", KEYED_SERVICE, domain_of(layout, number), **layout.target)
            for number in range(layout.keyed)
        ),
        *(
            cluster.start_target(f"p{number}", POOLED_SERVICE, domain_of(layout, number), **layout.target)
            for number in range(layout.pooled)
        ),
    )
    await wait_until_balanced(cluster, layout)


def domain_of(layout: Layout, number: int) -> str:
    """Return the failure domain of an instance."""
    return layout.failure_domains[number % len(layout.failure_domains)]


async def find_owner(cluster: Cluster, key: str, limit: float = SERVED_TIMEOUT_SECONDS) -> str:
    """Return the target that serves a key; retries until one does or ``limit`` seconds have passed."""
    addresses = cluster.started_entry_addresses()
    attempt = 0
    async with asyncio.timeout(limit):
        while True:
            address = addresses[attempt % len(addresses)]
            attempt += 1
            try:
                url = f"http://{address}/{KEYED_SERVICE}/{key}?ms=1"
                async with cluster.session.get(url) as answer:
                    if answer.status == 200:
                        return read_identity(await answer.read())[1]
            except aiohttp.ClientError:
                pass
            await asyncio.sleep(POLL_INTERVAL_SECONDS)


async def find_owners(cluster: Cluster, layout: Layout) -> dict[str, str]:
    """Return the target that serves each key."""
    keys = [layout.key(number) for number in range(layout.keys)]
    owners: dict[str, str] = {}
    for key in keys:
        owners[key] = await find_owner(cluster, key)
    return owners


async def wait_until_balanced(cluster: Cluster, layout: Layout) -> dict[str, str]:
    """Wait until each running keyed target serves a key and each pooled target a request.

    Returns:
        The target of each key, empty without a keyed service.
    """
    async with asyncio.timeout(SERVED_TIMEOUT_SECONDS):
        while layout.keyed:
            owners = await find_owners(cluster, layout)
            expected = {
                f"k{number}" for number in range(layout.keyed) if cluster.targets[f"k{number}"].running()
            }
            if expected <= set(owners.values()):
                break
            await asyncio.sleep(0.2)
        seen: set[str] = set()
        while len(seen) < layout.pooled:
            for address in cluster.started_entry_addresses():
                async with cluster.session.get(f"http://{address}/{POOLED_SERVICE}/warm?ms=1") as answer:
                    if answer.status == 200:
                        seen.add(read_identity(await answer.read())[1])
            await asyncio.sleep(0.005)
    return owners if layout.keyed else {}


def mixed_request(layout: Layout, number: int, ms: float = 5) -> LoadRequest:
    """Return a request: one in three is a POST, and keyed and pooled alternate where both exist."""
    method = "POST" if number % 3 == 0 else "GET"
    keyed = layout.keyed and (not layout.pooled or number % 2 == 0)
    path = f"/{KEYED_SERVICE}/{layout.key(number)}" if keyed else f"/{POOLED_SERVICE}/orders"
    headers = {"Cranberrylever-Request-Id": f"r{number}"}
    return LoadRequest(method, f"{path}?n={number}&ms={ms:g}", headers)


def failed_outcomes(outcomes: dict[str, int]) -> int:
    """Return the number of requests that were not served."""
    return sum(count for outcome, count in outcomes.items() if outcome != DONE)

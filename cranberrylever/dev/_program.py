"""Run of the demonstration until it is interrupted."""

import asyncio
import tempfile

import aiohttp

from cranberrylever.dev._cluster import EXAMPLE_TICKET, KEYED_SERVICE, POOLED_SERVICE, DevCluster
from cranberrylever.errors import CranberryleverError
from cranberrylever.stop_signals import set_at_stop_signal

START_TIMEOUT_S = 20.0
RETRY_DELAY_S = 0.1


class DevStartError(CranberryleverError):
    """The demonstration did not become ready."""


def run_dev(token: str = "") -> None:
    """Run the demonstration in a temporary directory until SIGINT or SIGTERM.

    Args:
        token: Bearer token of the operator API; empty for none.
    """
    with tempfile.TemporaryDirectory(prefix="cranberrylever-dev-") as folder:
        asyncio.run(serve(DevCluster(folder, token)))


async def serve(cluster: DevCluster, stop: asyncio.Event | None = None) -> None:
    """Start the cluster, send example requests and run until stopped.

    Args:
        cluster: The cluster to run.
        stop: Event that ends the run; SIGINT and SIGTERM set it as well.
    """
    stop = stop or asyncio.Event()
    with set_at_stop_signal(stop):
        try:
            await cluster.start()
            async with aiohttp.ClientSession() as session:
                await submit_example_ticket(cluster, session)
                await send_example_requests(cluster, session)
            print_examples(cluster)
            await stop.wait()
        finally:
            print("stopping", flush=True)
            await cluster.close()


async def submit_example_ticket(cluster: DevCluster, session: aiohttp.ClientSession) -> None:
    """Submit the example ticket.

    Raises:
        DevStartError: Control refused the ticket or did not accept it within the timeout.
    """
    answer = ""
    header = {"Authorization": f"Bearer {cluster.token}"} if cluster.token else {}
    url = f"http://{cluster.control_http}/v1/tickets"
    deadline = asyncio.get_running_loop().time() + START_TIMEOUT_S
    while asyncio.get_running_loop().time() < deadline:
        try:
            async with session.post(url, data=EXAMPLE_TICKET, headers=header) as response:
                answer = await response.text()
                if response.status < 300:
                    print(f"ticket 1 accepted: {answer}", flush=True)
                    return
                if response.status != 503:
                    break
        except aiohttp.ClientError as error:
            answer = str(error)
        await asyncio.sleep(RETRY_DELAY_S)
    raise DevStartError(f"ticket 1 was not accepted: {answer}", f"read {cluster.data_dir}/dev.log")


async def send_example_requests(cluster: DevCluster, session: aiohttp.ClientSession) -> None:
    """Send one request per service to each entry and print the responses."""
    for entry in cluster.entries:
        for path in (f"/{KEYED_SERVICE}/build-17", f"/{POOLED_SERVICE}/quotes"):
            answer = await get_until_served(cluster, session, f"http://{entry.bound_address}{path}")
            print(f"GET {path} at {entry.bound_address}: {answer}", flush=True)


async def get_until_served(cluster: DevCluster, session: aiohttp.ClientSession, url: str) -> str:
    """Repeat a request until it is served and return the response body.

    Raises:
        DevStartError: The request was not served within the timeout.
    """
    text = ""
    deadline = asyncio.get_running_loop().time() + START_TIMEOUT_S
    while asyncio.get_running_loop().time() < deadline:
        try:
            async with session.get(url) as response:
                text = await response.text()
                if response.status == 200:
                    return text
        except aiohttp.ClientError as error:
            text = str(error)
        await asyncio.sleep(RETRY_DELAY_S)
    raise DevStartError(f"{url} was not served: {text}", f"read {cluster.data_dir}/dev.log")


def print_examples(cluster: DevCluster) -> None:
    """Print example commands."""
    entry = cluster.entries[0].bound_address
    target = cluster.targets[0]
    header = f"-H 'Authorization: Bearer {cluster.token}' " if cluster.token else ""
    print(
        f"""
try:
  curl -i http://{entry}/{KEYED_SERVICE}/build-17
  curl -i -X POST -H 'Idempotency-Key: order-1' -d '{{"boards": 40}}' http://{entry}/{POOLED_SERVICE}/orders
  curl -s {header}http://{cluster.control_http}/v1/status
  curl -s http://{target.bound_address}/-/runs
withdraw a failure domain and restore it:
  printf 'number = 2\\n[[failure_domain]]\\nname = "valley"\\nstate = "withdrawn"\\n' |
    curl -s {header}--data-binary @- http://{cluster.control_http}/v1/tickets
  printf 'number = 3\\n[[failure_domain]]\\nname = "valley"\\nstate = "active"\\n' |
    curl -s {header}--data-binary @- http://{cluster.control_http}/v1/tickets
set a target to cold, or make it 20 times slower for 5 s:
  curl -s -d '{{"cold": true}}' http://{target.bound_address}/-/fault
  curl -s -d '{{"slow_factor": 20, "for_ms": 5000}}' http://{target.bound_address}/-/fault
Ctrl-C stops all programs; the data and the log are in {cluster.data_dir}
""",
        flush=True,
    )

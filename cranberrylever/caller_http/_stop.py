"""End of a stop: requests finish, those that cannot get an answer of the entry, then connections close."""

import asyncio
from collections.abc import Sequence

import attrs

from cranberrylever.caller_http._running import RunningRequests
from cranberrylever.caller_http._server import CallerServer

END_ANSWER_TIME_S = 0.1
"""Time before the limit at which requests that still run are ended, so that their answers are sent."""


@attrs.frozen
class StopOutcome:
    """Number of requests that the entry answered itself at the limit, and of those it gave no answer."""

    ended: int
    cut_off: int


async def finish_requests(
    servers: Sequence[CallerServer], running: RunningRequests, until: float
) -> StopOutcome:
    """Wait until the requests of listeners have finished, at most until a loop time, and close them.

    Args:
        servers: Listeners that accept no more connections.
        running: Their requests.
        until: Loop time of the limit.
    """
    ended = 0
    if not await _wait_finished(servers, until - END_ANSWER_TIME_S):
        ended = running.end_all()
        await _wait_finished(servers, until)
    cut_off = await asyncio.gather(*(server.close() for server in servers))
    return StopOutcome(ended, sum(cut_off))


async def _wait_finished(servers: Sequence[CallerServer], until: float) -> bool:
    return all(await asyncio.gather(*(server.wait_finished(until) for server in servers)))

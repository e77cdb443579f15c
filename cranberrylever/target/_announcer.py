"""Periodic announcements of a target to control."""

import asyncio
import contextlib
from collections.abc import Callable

import aiohttp
import attrs
import msgspec

from cranberrylever.http_status import is_final
from cranberrylever.membership import Announcement

RETRY_DELAY_S = 0.5
ANNOUNCE_INTERVAL_S = 2.0
REQUEST_TIMEOUT_S = 1.0
_REDIRECTION = 300


@attrs.define
class Announcer:
    """Sends announcements to a control member, and to the next one after a failure.

    Attributes:
        control: HTTP addresses of the control members.
        token: Bearer token; empty for none.
        current: Returns the announcement to send.
        ready: Set while announcements may be sent.
        member: Number of failed announcements; selects the control member.
        acknowledged: The last announcement that control acknowledged.
        changed: Set to send the next announcement at once.
    """

    control: tuple[str, ...]
    token: str
    current: Callable[[], Announcement]
    ready: asyncio.Event
    member: int = 0
    acknowledged: Announcement | None = None
    changed: asyncio.Event = attrs.field(factory=asyncio.Event)

    async def run(self) -> None:
        """Send announcements until cancelled."""
        timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
        headers = {"Authorization": f"Bearer {self.token}"} if self.token else {}
        async with aiohttp.ClientSession(timeout=timeout, headers=headers) as session:
            while True:
                await self.ready.wait()
                self.changed.clear()
                acknowledged = await self.announce(session)
                delay = ANNOUNCE_INTERVAL_S if acknowledged else RETRY_DELAY_S
                # asyncio.wait_for in Python 3.11 drops a cancellation that arrives together with the event.
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(delay):
                        await self.changed.wait()

    async def announce(self, session: aiohttp.ClientSession) -> bool:
        """Send one announcement and return whether it was acknowledged."""
        announcement = self.current()
        address = self.control[self.member % len(self.control)]
        try:
            async with session.post(
                f"http://{address}/v1/announce",
                data=msgspec.json.encode(announcement),
                headers={"Content-Type": "application/json"},
            ) as response:
                await response.read()
                if is_final(response.status) and response.status < _REDIRECTION:
                    self.acknowledged = announcement
                    return True
        except (aiohttp.ClientError, TimeoutError):
            pass
        self.member += 1
        return False

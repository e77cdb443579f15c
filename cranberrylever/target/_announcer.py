"""Announces a target to control."""

import asyncio
import contextlib
from collections.abc import Callable

import aiohttp
import attrs
import msgspec

from cranberrylever.membership import Announcement

RETRY_SECONDS = 0.5
REPEAT_SECONDS = 2.0
TIMEOUT_SECONDS = 1.0


@attrs.define
class Announcer:
    """Sends announcements to control, to the next member after a failure.

    Attributes:
        control: HTTP addresses of the control members.
        token: Bearer token, empty for none.
        current: Returns the announcement to send.
        acknowledged: The announcement that control acknowledged last.
    """

    control: tuple[str, ...]
    token: str
    current: Callable[[], Announcement]
    ready: asyncio.Event
    member: int = 0
    acknowledged: Announcement | None = None
    changed: asyncio.Event = attrs.field(factory=asyncio.Event)

    async def run(self) -> None:
        """Announce until cancelled."""
        timeout = aiohttp.ClientTimeout(total=TIMEOUT_SECONDS)
        header = {"Authorization": f"Bearer {self.token}"} if self.token else {}
        async with aiohttp.ClientSession(timeout=timeout, headers=header) as session:
            while True:
                await self.ready.wait()
                self.changed.clear()
                acknowledged = await self.announce(session)
                pause = REPEAT_SECONDS if acknowledged else RETRY_SECONDS
                # asyncio.wait_for of Python 3.11 drops a cancellation that arrives together with the event.
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(pause):
                        await self.changed.wait()

    async def announce(self, session: aiohttp.ClientSession) -> bool:
        """Send one announcement; returns whether it was acknowledged."""
        announcement = self.current()
        address = self.control[self.member % len(self.control)]
        try:
            async with session.post(
                f"http://{address}/v1/announce",
                data=msgspec.json.encode(announcement),
                headers={"Content-Type": "application/json"},
            ) as answer:
                await answer.read()
                if answer.status < 300:
                    self.acknowledged = announcement
                    return True
        except (aiohttp.ClientError, TimeoutError):
            pass
        self.member += 1
        return False

"""Flow control of a listener's connection whose protocol decides itself when to read."""

import asyncio
from collections.abc import Callable

from uvicorn.protocols.http.flow_control import FlowControl


class ReadingControl(FlowControl):
    """Write side of uvicorn's flow control; the protocol itself decides whether to read.

    Args:
        transport: Transport of the connection.
        on_room: Called when an application or the end of an answer makes room for more.
    """

    def __init__(self, transport: asyncio.Transport, on_room: Callable[[], None]) -> None:
        super().__init__(transport)
        self.on_room = on_room

    def pause_reading(self) -> None:
        """Leave the decision to the protocol."""

    def resume_reading(self) -> None:
        """Tell the protocol that there may be room."""
        self.on_room()

"""Server for the streams of other members and of entries."""

import asyncio
from collections.abc import Sequence

import grpclib.server

from cranberrylever.logs import Log
from cranberrylever.settings import split_address
from cranberrylever.wire import MsgpackCodec


class RpcServer:
    """Listener for grpclib handlers.

    Args:
        handlers: Handlers of incoming streams.
        close_timeout: Seconds for which the close waits for the ends of open streams.
        log: Program log.
    """

    def __init__(self, handlers: Sequence[object], close_timeout: float, log: Log) -> None:
        self.server = grpclib.server.Server(handlers, codec=MsgpackCodec())
        self.close_timeout = close_timeout
        self.log = log
        self.is_started = False

    async def start(self, address: str) -> None:
        """Listen on ``address``, as host:port.

        Raises:
            OSError: The address cannot be bound.
        """
        await self.server.start(*split_address(address))
        self.is_started = True

    async def close(self) -> None:
        """Stop listening and end all streams; without effect on a server that has not started."""
        if not self.is_started:
            return
        self.server.close()
        try:
            async with asyncio.timeout(self.close_timeout):
                await self.server.wait_closed()
        except TimeoutError:
            self.log.warning("rpc_close_timeout", seconds=self.close_timeout)

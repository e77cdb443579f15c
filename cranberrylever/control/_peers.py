"""grpclib transport between control members."""

import asyncio
import collections
import random

import eliot
import grpclib.client
import grpclib.const
import grpclib.exceptions
import grpclib.server

from cranberrylever.consensus import Receiver, Transport
from cranberrylever.wire import MsgpackCodec, PeerBase, PeerFrame, PeerStub

MAX_QUEUED_FRAMES = 1024
MIN_BACKOFF_SECONDS = 0.05
MAX_BACKOFF_SECONDS = 1.0
SEND_TIMEOUT_SECONDS = 1.0
CONNECT_TIMEOUT_SECONDS = 1.0


class PeerLink:
    """One long-lived outgoing stream to a peer.

    Args:
        address: ``host:port`` of the peer.
    """

    def __init__(self, member_id: str, address: str) -> None:
        self.member_id = member_id
        host, _, port = address.rpartition(":")
        self.host = host.strip("[]")
        self.port = int(port)
        self.queue: collections.deque[PeerFrame] = collections.deque()
        self.dropped = 0
        self._wake = asyncio.Event()
        self._task: asyncio.Task | None = None

    def start(self) -> None:
        """Start to connect and send."""
        self._task = asyncio.get_running_loop().create_task(self._run())

    async def close(self) -> None:
        """Drop queued frames and close the stream."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.wait([self._task])

    def put(self, frame: PeerFrame) -> None:
        """Queue ``frame``; a full queue drops its oldest frame, which Raft would repeat anyway."""
        if len(self.queue) >= MAX_QUEUED_FRAMES:
            self.queue.popleft()
            self.dropped += 1
        self.queue.append(frame)
        self._wake.set()

    async def _run(self) -> None:
        backoff = MIN_BACKOFF_SECONDS
        while True:
            started = asyncio.get_running_loop().time()
            try:
                await self._serve()
            except (
                OSError,
                TimeoutError,
                grpclib.exceptions.GRPCError,
                grpclib.exceptions.StreamTerminatedError,
            ) as error:
                eliot.log_message("peers:disconnected", peer=self.member_id, error=repr(error))
            if asyncio.get_running_loop().time() - started > MAX_BACKOFF_SECONDS:
                backoff = MIN_BACKOFF_SECONDS
            self.queue.clear()
            await asyncio.sleep(backoff * random.uniform(0.5, 1.0))
            backoff = min(backoff * 2, MAX_BACKOFF_SECONDS)

    async def _serve(self) -> None:
        """Connect and send queued frames until the stream breaks."""
        channel = grpclib.client.Channel(self.host, self.port, codec=MsgpackCodec())
        try:
            async with PeerStub(channel).exchange.open() as stream:
                async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
                    await stream.send_request()
                while True:
                    while self.queue:
                        frame = self.queue.popleft()
                        async with asyncio.timeout(SEND_TIMEOUT_SECONDS):
                            await stream.send_message(frame)
                    self._wake.clear()
                    await self._wake.wait()
        finally:
            channel.close()


class PeerTransport(Transport, PeerBase):
    """Transport between control members; it is also the grpclib handler of the incoming streams.

    Args:
        cluster_id: Frames of another cluster are refused.
        member_id: This member; frames for another receiver are refused.
        members: rpc address by member id; this member's own entry is ignored.
    """

    def __init__(self, cluster_id: str, member_id: str, members: dict[str, str]) -> None:
        self.cluster_id = cluster_id
        self.member_id = member_id
        self.callback: Receiver | None = None
        self.links = {peer: PeerLink(peer, address) for peer, address in members.items() if peer != member_id}

    async def start(self) -> None:
        """Connect to all peers."""
        for link in self.links.values():
            link.start()

    async def close(self) -> None:
        """Close all outgoing streams."""
        for link in self.links.values():
            await link.close()

    def send(self, receiver: str, frame: PeerFrame) -> None:
        """Queue ``frame`` for ``receiver``."""
        link = self.links.get(receiver)
        if link is not None:
            link.put(frame)

    def set_receiver(self, callback: Receiver) -> None:
        """Call ``callback`` for every frame that arrives."""
        self.callback = callback

    async def exchange(self, stream: "grpclib.server.Stream[PeerFrame, PeerFrame]") -> None:
        """Receive the frames of one peer until its stream closes."""
        async for frame in stream:
            if frame.cluster_id != self.cluster_id or frame.receiver != self.member_id:
                raise grpclib.exceptions.GRPCError(
                    grpclib.const.Status.FAILED_PRECONDITION,
                    f"this is member {self.member_id!r} of cluster {self.cluster_id!r}",
                )
            if self.callback is not None:
                self.callback(frame)

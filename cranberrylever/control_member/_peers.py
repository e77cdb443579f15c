"""grpclib transport between control members."""

import asyncio
import collections
import random

import grpclib.client
import grpclib.const
import grpclib.exceptions
import grpclib.server

from cranberrylever.consensus import Receiver, Transport
from cranberrylever.logs import Log
from cranberrylever.settings import split_address
from cranberrylever.wire import MsgpackCodec, PeerBase, PeerFrame, PeerStub

MAX_QUEUED_FRAMES = 1024
MIN_BACKOFF_SECONDS = 0.05
MAX_BACKOFF_SECONDS = 0.3
STABLE_SECONDS = 1.0
SEND_TIMEOUT_SECONDS = 1.0
CONNECT_TIMEOUT_SECONDS = 1.0
ECHO_INTERVAL_SECONDS = 0.2
ECHO_TIMEOUT_SECONDS = 1.0
ECHO_KIND = "Echo"
IDLE_LINK_SECONDS = 30.0


class PeerLink:
    """One long-lived outgoing stream to a peer.

    Args:
        member_id: Member id of the peer.
        address: ``host:port`` of the peer.
        log: Log of this member.
    """

    def __init__(self, member_id: str, address: str, log: Log) -> None:
        self.member_id = member_id
        self.log = log
        self.host, self.port = split_address(address)
        self.queue: collections.deque[PeerFrame] = collections.deque()
        self.dropped = 0
        self.connections = 0
        self.used_at = 0.0
        self._reason = ""
        self._unanswered_since: float | None = None
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
        self.used_at = asyncio.get_running_loop().time()
        self._wake.set()

    async def _run(self) -> None:
        """Connect again after each break, with a growing random pause."""
        loop = asyncio.get_running_loop()
        backoff = MIN_BACKOFF_SECONDS
        while True:
            started = loop.time()
            try:
                await self._serve()
            except* (
                OSError,
                grpclib.exceptions.GRPCError,
                grpclib.exceptions.StreamTerminatedError,
            ) as group:
                self._log_break(repr(group.exceptions[0]))
            if loop.time() - started > STABLE_SECONDS:
                self._reason = ""
                backoff = MIN_BACKOFF_SECONDS
            await asyncio.sleep(backoff * random.uniform(0.5, 1.0))
            self.queue.clear()
            backoff = min(backoff * 2, MAX_BACKOFF_SECONDS)

    def _log_break(self, reason: str) -> None:
        """Log why the stream broke, once for a series of attempts that fail alike."""
        if reason != self._reason:
            self._reason = reason
            self.log.warning("peer_disconnected", peer=self.member_id, reason=reason)

    async def _serve(self) -> None:
        """Connect and send queued frames until the stream breaks."""
        channel = grpclib.client.Channel(self.host, self.port, codec=MsgpackCodec())
        self._unanswered_since = None
        try:
            async with PeerStub(channel).exchange.open() as stream:
                async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
                    await stream.send_request()
                self.connections += 1
                async with asyncio.TaskGroup() as tasks:
                    tasks.create_task(self._receive_echoes(stream))
                    tasks.create_task(self._send_frames(stream))
        finally:
            channel.close()

    async def _send_frames(self, stream: "grpclib.client.Stream[PeerFrame, PeerFrame]") -> None:
        while True:
            while self.queue:
                self._check_echo()
                async with asyncio.timeout(SEND_TIMEOUT_SECONDS):
                    await stream.send_message(self.queue.popleft())
            self._wake.clear()
            await self._wake.wait()

    def _check_echo(self) -> None:
        """Break a stream whose peer does not answer.

        The sockets of a machine that vanished, or that a partition cut off, would otherwise take
        frames for many seconds and keep a healed connection waiting for TCP's own retries.
        """
        now = asyncio.get_running_loop().time()
        if self._unanswered_since is None:
            self._unanswered_since = now
        elif now - self._unanswered_since > ECHO_TIMEOUT_SECONDS:
            raise TimeoutError(f"no echo for {ECHO_TIMEOUT_SECONDS} s")

    async def _receive_echoes(self, stream: "grpclib.client.Stream[PeerFrame, PeerFrame]") -> None:
        async for _ in stream:
            self._unanswered_since = None
        raise ConnectionError("the peer closed the stream")


class PeerTransport(Transport, PeerBase):
    """Transport between control members; it is also the grpclib handler of the incoming streams.

    Args:
        cluster_id: Frames of another cluster are refused.
        member_id: This member; frames for another receiver are refused.
        members: rpc address by member id; this member's own entry is ignored.
        ids_are_addresses: Whether a member's id is its rpc address, so that members not in ``members`` can be
            reached as well.
    """

    def __init__(
        self, cluster_id: str, member_id: str, members: dict[str, str], ids_are_addresses: bool = False
    ) -> None:
        self.cluster_id = cluster_id
        self.member_id = member_id
        self.ids_are_addresses = ids_are_addresses
        self.callback: Receiver | None = None
        self.log = Log("consensus", member_id)
        self.closing: set[asyncio.Task[None]] = set()
        self.links = {
            peer: PeerLink(peer, address, self.log) for peer, address in members.items() if peer != member_id
        }

    async def start(self) -> None:
        """Connect to all peers."""
        for link in self.links.values():
            link.start()

    async def close(self) -> None:
        """Close all outgoing streams."""
        for link in self.links.values():
            await link.close()
        if self.closing:
            await asyncio.wait(self.closing)

    def send(self, receiver: str, frame: PeerFrame) -> None:
        """Queue ``frame`` for ``receiver``; a member met for the first time is connected to."""
        link = self.links.get(receiver)
        if link is None and self.ids_are_addresses and receiver != self.member_id:
            link = self._add_link(receiver)
        if link is not None:
            link.put(frame)

    def _add_link(self, receiver: str) -> PeerLink:
        self._drop_idle_links()
        link = self.links[receiver] = PeerLink(receiver, receiver, self.log)
        link.start()
        return link

    def _drop_idle_links(self) -> None:
        """Close the streams to members that were replaced and get no frames any more."""
        now = asyncio.get_running_loop().time()
        idle = [peer for peer, link in self.links.items() if now - link.used_at > IDLE_LINK_SECONDS]
        for peer in idle:
            task = asyncio.get_running_loop().create_task(self.links.pop(peer).close())
            self.closing.add(task)
            task.add_done_callback(self.closing.discard)

    def set_receiver(self, callback: Receiver) -> None:
        """Call ``callback`` for every frame that arrives."""
        self.callback = callback

    async def exchange(self, stream: "grpclib.server.Stream[PeerFrame, PeerFrame]") -> None:
        """Receive the frames of one peer until its stream closes, with an echo now and then."""
        loop = asyncio.get_running_loop()
        echo_at = loop.time()
        async for frame in stream:
            if frame.cluster_id != self.cluster_id or frame.receiver != self.member_id:
                raise grpclib.exceptions.GRPCError(
                    grpclib.const.Status.FAILED_PRECONDITION,
                    f"this is member {self.member_id!r} of cluster {self.cluster_id!r}",
                )
            if self.callback is not None:
                self.callback(frame)
            if loop.time() >= echo_at:
                echo_at = loop.time() + ECHO_INTERVAL_SECONDS
                await stream.send_message(self._echo(frame.sender))

    def _echo(self, receiver: str) -> PeerFrame:
        return PeerFrame(self.cluster_id, self.member_id, receiver, "", ECHO_KIND, b"")

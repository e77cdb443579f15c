"""Transport of consensus messages between control members over grpclib streams."""

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
MAX_QUEUED_BYTES = 8 * 1024 * 1024
"""Limits of the frames queued for one peer, of a dozen at most; beyond either the oldest is dropped."""

MIN_RECONNECT_DELAY_S = 0.05
MAX_RECONNECT_DELAY_S = 0.3
"""Limits of the delay before a lost stream is opened again."""

STABLE_CONNECTION_S = 1.0
"""Duration of a connection after which the reconnect delay is reset to its minimum."""

SEND_TIMEOUT_S = 1.0
CONNECT_TIMEOUT_S = 1.0
ECHO_INTERVAL_S = 0.2
"""Smallest interval between the echoes that a receiver sends for frames."""

ECHO_TIMEOUT_S = 1.0
"""Time without an echo after which a sender closes the stream and connects again."""

ECHO_KIND = "Echo"
IDLE_LINK_TIMEOUT_S = 30.0
"""Time without frames after which a link is closed, since its member was replaced."""


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
        self.queued_bytes = 0
        self.dropped = 0
        self.connections = 0
        self.last_used_at = 0.0
        self._last_reason = ""
        self._unanswered_since: float | None = None
        self._wake = asyncio.Event()
        self._task: asyncio.Task | None = None
        self._is_closing = False

    def start(self) -> None:
        """Start connecting and sending."""
        self._task = asyncio.get_running_loop().create_task(self._run())

    async def close(self) -> None:
        """Drop queued frames and close the stream."""
        self._is_closing = True
        if self._task is not None:
            self._task.cancel()
            await asyncio.wait([self._task])

    def put(self, frame: PeerFrame) -> None:
        """Queue ``frame``; a full queue drops its oldest frames, because Raft sends lost messages again."""
        size = len(frame.body)
        while self.queue and (
            len(self.queue) >= MAX_QUEUED_FRAMES or self.queued_bytes + size > MAX_QUEUED_BYTES
        ):
            self._take()
            self.dropped += 1
        self.queue.append(frame)
        self.queued_bytes += size
        self.last_used_at = asyncio.get_running_loop().time()
        self._wake.set()

    def _take(self) -> PeerFrame:
        frame = self.queue.popleft()
        self.queued_bytes -= len(frame.body)
        return frame

    async def _run(self) -> None:
        """Reconnect each time the stream is lost, after an exponential delay with random jitter."""
        loop = asyncio.get_running_loop()
        reconnect_delay = MIN_RECONNECT_DELAY_S
        # A task group that ends with an error hides a cancellation that came meanwhile.
        while not self._is_closing:
            started = loop.time()
            try:
                await self._exchange_frames()
            except* (
                OSError,
                grpclib.exceptions.GRPCError,
                grpclib.exceptions.StreamTerminatedError,
            ) as errors:
                self._log_disconnect(repr(errors.exceptions[0]))
            if loop.time() - started > STABLE_CONNECTION_S:
                self._last_reason = ""
                reconnect_delay = MIN_RECONNECT_DELAY_S
            await asyncio.sleep(reconnect_delay * random.uniform(0.5, 1.0))
            self.queue.clear()
            self.queued_bytes = 0
            reconnect_delay = min(reconnect_delay * 2, MAX_RECONNECT_DELAY_S)

    def _log_disconnect(self, reason: str) -> None:
        """Log why the stream was lost, once for consecutive attempts that fail for the same reason."""
        if reason != self._last_reason:
            self._last_reason = reason
            self.log.warning("peer_disconnected", peer=self.member_id, reason=reason)

    async def _exchange_frames(self) -> None:
        """Connect and send queued frames until the stream is lost."""
        channel = grpclib.client.Channel(self.host, self.port, codec=MsgpackCodec())
        self._unanswered_since = None
        try:
            async with PeerStub(channel).exchange.open() as stream:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
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
                self._check_echo_timeout()
                async with asyncio.timeout(SEND_TIMEOUT_S):
                    await stream.send_message(self._take())
            self._wake.clear()
            await self._wake.wait()

    def _check_echo_timeout(self) -> None:
        """Close a stream whose peer sends no echoes.

        The socket to an instance that is down or partitioned would otherwise accept frames for many seconds,
        and after the partition the stream would wait for the retransmissions of TCP.

        Raises:
            TimeoutError: Frames have been unanswered for longer than the timeout.
        """
        now = asyncio.get_running_loop().time()
        if self._unanswered_since is None:
            self._unanswered_since = now
        elif now - self._unanswered_since > ECHO_TIMEOUT_S:
            raise TimeoutError(f"the peer sent no echo for {ECHO_TIMEOUT_S} s")

    async def _receive_echoes(self, stream: "grpclib.client.Stream[PeerFrame, PeerFrame]") -> None:
        async for _ in stream:
            self._unanswered_since = None
        raise ConnectionError("the peer closed the stream")


class PeerTransport(Transport, PeerBase):
    """Transport between control members, and the grpclib handler of incoming streams.

    Args:
        cluster_id: Cluster of this member; frames of another one are refused.
        member_id: This member; frames for another receiver are refused.
        members: Rpc address by member id; this member is left out.
        ids_are_addresses: Whether a member's id is its rpc address, so that members not in ``members`` can
            be reached as well.
    """

    def __init__(
        self, cluster_id: str, member_id: str, members: dict[str, str], ids_are_addresses: bool = False
    ) -> None:
        self.cluster_id = cluster_id
        self.member_id = member_id
        self.ids_are_addresses = ids_are_addresses
        self.callback: Receiver | None = None
        self.log = Log("consensus", member_id)
        self.closing_links: set[asyncio.Task[None]] = set()
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
        if self.closing_links:
            await asyncio.wait(self.closing_links)

    def send(self, receiver: str, frame: PeerFrame) -> None:
        """Queue ``frame`` for ``receiver``; a link to a new member is added if ids are addresses."""
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
        """Close the links to members that were replaced, which get no more frames."""
        now = asyncio.get_running_loop().time()
        idle = [peer for peer, link in self.links.items() if now - link.last_used_at > IDLE_LINK_TIMEOUT_S]
        for peer in idle:
            task = asyncio.get_running_loop().create_task(self.links.pop(peer).close())
            self.closing_links.add(task)
            task.add_done_callback(self.closing_links.discard)

    def set_receiver(self, callback: Receiver) -> None:
        """Call ``callback`` for every frame that arrives."""
        self.callback = callback

    async def exchange(self, stream: "grpclib.server.Stream[PeerFrame, PeerFrame]") -> None:
        """Receive the frames of one peer until its stream closes, and send echoes at an interval."""
        loop = asyncio.get_running_loop()
        next_echo_at = loop.time()
        async for frame in stream:
            if frame.cluster_id != self.cluster_id or frame.receiver != self.member_id:
                raise grpclib.exceptions.GRPCError(
                    grpclib.const.Status.FAILED_PRECONDITION,
                    f"the frame is not for member {self.member_id!r} of cluster {self.cluster_id!r}",
                )
            if self.callback is not None:
                self.callback(frame)
            if loop.time() >= next_echo_at:
                next_echo_at = loop.time() + ECHO_INTERVAL_S
                await stream.send_message(self._echo(frame.sender))

    def _echo(self, receiver: str) -> PeerFrame:
        return PeerFrame(self.cluster_id, self.member_id, receiver, "", ECHO_KIND, b"")

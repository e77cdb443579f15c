"""Delivery of frames between members: the abstract transport and its in-memory implementation."""

import abc
import asyncio
import random
from collections.abc import Callable

import attrs

from cranberrylever.wire import PeerFrame

Receiver = Callable[[PeerFrame], None]


class Transport(abc.ABC):
    """Best-effort delivery of frames, which may be lost, delayed or reordered."""

    @abc.abstractmethod
    def send(self, receiver: str, frame: PeerFrame) -> None:
        """Queue ``frame`` for the member ``receiver`` without blocking or raising an exception."""

    @abc.abstractmethod
    def set_receiver(self, callback: Receiver) -> None:
        """Set the callback for frames addressed to this member."""


@attrs.define
class MemoryNetwork:
    """Simulated network between ``MemoryTransport`` objects.

    Args:
        rng: Random source of losses and delays.
        min_delay: Shortest delivery time in seconds.
        max_delay: Longest delivery time in seconds; varying delays reorder frames.
        loss: Probability that a frame is lost.
        transports: Connected transports by member id.
        blocked: Blocked links as pairs of sender and receiver.
    """

    rng: random.Random = attrs.field(factory=lambda: random.Random(1))
    min_delay: float = 0.0
    max_delay: float = 0.0
    loss: float = 0.0
    transports: dict[str, "MemoryTransport"] = attrs.field(factory=dict)
    blocked: set[tuple[str, str]] = attrs.field(factory=set)

    def partition(self, *groups: set[str]) -> None:
        """Block all links between members of different groups."""
        members = [(member, number) for number, group in enumerate(groups) for member in group]
        self.blocked = {(a, b) for a, group_a in members for b, group_b in members if group_a != group_b}

    def block(self, sender: str, receiver: str) -> None:
        """Block the link from ``sender`` to ``receiver``, but not the reverse one."""
        self.blocked.add((sender, receiver))

    def heal(self) -> None:
        """Unblock all links."""
        self.blocked.clear()

    def deliver(self, frame: PeerFrame) -> None:
        """Deliver ``frame`` after a random delay, or drop it with the probability ``loss``."""
        if self.loss and self.rng.random() < self.loss:
            return
        delay = self.rng.uniform(self.min_delay, self.max_delay) if self.max_delay else 0.0
        asyncio.get_running_loop().call_later(delay, self._arrive, frame)

    def _arrive(self, frame: PeerFrame) -> None:
        transport = self.transports.get(frame.receiver)
        if transport is None or (frame.sender, frame.receiver) in self.blocked:
            return
        transport.receive(frame)


class MemoryTransport(Transport):
    """Transport over a simulated network.

    Args:
        network: Network that delivers the frames.
        member_id: Id of the member that uses this transport.
    """

    def __init__(self, network: MemoryNetwork, member_id: str) -> None:
        self.network = network
        self.callback: Receiver | None = None
        self.member_id = member_id
        network.transports[member_id] = self

    def send(self, receiver: str, frame: PeerFrame) -> None:
        """Send ``frame`` unless this transport was closed or replaced or the link is blocked."""
        if self.network.transports.get(self.member_id) is self and (
            (self.member_id, receiver) not in self.network.blocked
        ):
            self.network.deliver(frame)

    def set_receiver(self, callback: Receiver) -> None:
        """Set the callback for received frames."""
        self.callback = callback

    def receive(self, frame: PeerFrame) -> None:
        """Pass a received frame to the callback."""
        if self.callback is not None:
            self.callback(frame)

    def close(self) -> None:
        """Disconnect this member from the network."""
        if self.network.transports.get(self.member_id) is self:
            del self.network.transports[self.member_id]

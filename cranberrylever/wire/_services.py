"""gRPC services of the streams between control members and between entries and control."""

import abc

import grpclib.client
import grpclib.const
import grpclib.server

from cranberrylever.wire._messages import EntryFrame, EntryReply, PeerFrame

_PEER_EXCHANGE_PATH = "/cranberrylever.Peer/Exchange"
_ENTRY_ATTACH_PATH = "/cranberrylever.EntryControl/Attach"


class PeerBase(abc.ABC):
    """Server side of the stream of Raft messages between control members."""

    @abc.abstractmethod
    async def exchange(self, stream: "grpclib.server.Stream[PeerFrame, PeerFrame]") -> None:
        """Serve one peer's stream until it closes."""

    def __mapping__(self) -> dict[str, grpclib.const.Handler]:  # noqa: PLW3201
        """Return the handlers by path, as grpclib expects."""
        return {
            _PEER_EXCHANGE_PATH: grpclib.const.Handler(
                self.exchange, grpclib.const.Cardinality.STREAM_STREAM, PeerFrame, PeerFrame
            )
        }


class PeerStub:
    """Client side of the peer stream."""

    def __init__(self, channel: grpclib.client.Channel) -> None:
        self.exchange = grpclib.client.StreamStreamMethod(channel, _PEER_EXCHANGE_PATH, PeerFrame, PeerFrame)


class EntryControlBase(abc.ABC):
    """Server side of the stream between an entry and a control member."""

    @abc.abstractmethod
    async def attach(self, stream: "grpclib.server.Stream[EntryFrame, EntryReply]") -> None:
        """Serve one entry's stream until it closes."""

    def __mapping__(self) -> dict[str, grpclib.const.Handler]:  # noqa: PLW3201
        """Return the handlers by path, as grpclib expects."""
        return {
            _ENTRY_ATTACH_PATH: grpclib.const.Handler(
                self.attach, grpclib.const.Cardinality.STREAM_STREAM, EntryFrame, EntryReply
            )
        }


class EntryControlStub:
    """Client side of the entry stream."""

    def __init__(self, channel: grpclib.client.Channel) -> None:
        self.attach = grpclib.client.StreamStreamMethod(channel, _ENTRY_ATTACH_PATH, EntryFrame, EntryReply)

"""Frames that carry consensus messages between members."""

from cranberrylever.consensus._config import ConsensusConfig
from cranberrylever.consensus._messages import MESSAGE_KINDS, Message
from cranberrylever.wire import PeerFrame, decode, encode


def build_frame(config: ConsensusConfig, folder_id: str, receiver: str, message: Message) -> PeerFrame:
    """Return the frame with a message of the member whose data directory is ``folder_id``."""
    kind = type(message).__name__
    return PeerFrame(config.cluster_id, config.member_id, receiver, folder_id, kind, encode(message))


def read_frame(config: ConsensusConfig, frame: PeerFrame) -> Message | None:
    """Return the message in a frame, ``None`` when it is not for this member or of an unknown kind.

    Raises:
        CodecError: The message cannot be decoded.
    """
    if frame.cluster_id != config.cluster_id or frame.receiver != config.member_id:
        return None
    kind = MESSAGE_KINDS.get(frame.kind)
    return decode(frame.body, kind) if kind is not None else None

"""Messages, codec and stream services between the processes of the system."""

from cranberrylever.wire._codec import MsgpackCodec, decode, encode
from cranberrylever.wire._messages import (
    ClaimAnswer,
    ClaimResult,
    CompleteClaim,
    EntryFrame,
    EntryHello,
    EntryReply,
    EntryReport,
    HotKey,
    NotLeader,
    OpenClaim,
    PeerFrame,
    ShardCount,
    SuspectRecord,
    TargetLoad,
    ViewAnswer,
)
from cranberrylever.wire._services import (
    EntryControlBase,
    EntryControlStub,
    PeerBase,
    PeerStub,
)

__all__ = [
    "ClaimAnswer",
    "ClaimResult",
    "CompleteClaim",
    "EntryControlBase",
    "EntryControlStub",
    "EntryFrame",
    "EntryHello",
    "EntryReply",
    "EntryReport",
    "HotKey",
    "MsgpackCodec",
    "NotLeader",
    "OpenClaim",
    "PeerBase",
    "PeerFrame",
    "PeerStub",
    "ShardCount",
    "SuspectRecord",
    "TargetLoad",
    "ViewAnswer",
    "decode",
    "encode",
]

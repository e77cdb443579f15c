"""Commands of the replicated log."""

import attrs

from cranberrylever.membership import Announcement
from cranberrylever.wire import ClaimAnswer, CommandCodec


@attrs.frozen
class AcceptTicket:
    """Accept a ticket given as TOML text."""

    text: str


@attrs.frozen
class AnnounceTarget:
    """Insert or update a target; a new incarnation voids its grants and makes it cold."""

    announcement: Announcement


@attrs.frozen
class SetTargetPhase:
    """Change a target's phase to ``cold``, ``warm``, ``leaving`` or ``lost``."""

    target_id: str
    incarnation: str
    phase: str
    reason: str = ""


@attrs.frozen
class RemoveTarget:
    """Forget a target that is lost or has left and owns nothing."""

    target_id: str
    incarnation: str


@attrs.frozen
class ShardRef:
    """A shard together with the fence under which the sender saw it."""

    shard: int
    fence: int


@attrs.frozen
class ReleaseShards:
    """Move owned shards to ``releasing``; a reference with an old fence is ignored."""

    service: str
    shards: tuple[ShardRef, ...]
    reason: str = ""


@attrs.frozen
class FreeShards:
    """Move releasing shards to ``free``; a reference with an old fence is ignored."""

    service: str
    shards: tuple[ShardRef, ...]


@attrs.frozen
class ShardAssignment:
    """A free shard and its new owner."""

    shard: int
    fence: int
    target_id: str
    incarnation: str


@attrs.frozen
class AssignShards:
    """Move free shards to ``owned``; an item with an old fence or incarnation is ignored."""

    service: str
    items: tuple[ShardAssignment, ...]


@attrs.frozen
class PinKey:
    """Give one key its own shard."""

    service: str
    key_hash: int


@attrs.frozen
class UnpinKey:
    """Return a pinned key to the shard of its hash; ignored unless both have the same owner."""

    service: str
    key_hash: int


@attrs.frozen
class AllocatePermits:
    """Set the permits per entry for one cold target."""

    target_id: str
    incarnation: str
    allocations: dict[str, int]


@attrs.frozen
class ClaimOpening:
    """One execution to claim; ``attempt`` is its execution token."""

    claim_id: str
    fingerprint: str
    entry_id: str
    attempt: str = ""


@attrs.frozen
class OpenClaims:
    """Claim executions."""

    items: tuple[ClaimOpening, ...]


@attrs.frozen
class ClaimCompletion:
    """The outcome of one claimed execution; ``attempt`` is the token that won the claim."""

    claim_id: str
    entry_id: str
    answer: ClaimAnswer
    attempt: str = ""


@attrs.frozen
class CompleteClaims:
    """Store the outcomes of claimed executions."""

    items: tuple[ClaimCompletion, ...]


@attrs.frozen
class ExpireClaims:
    """Forget all claims opened at or before log index ``opened_before``."""

    opened_before: int


Command = (
    AcceptTicket
    | AnnounceTarget
    | SetTargetPhase
    | RemoveTarget
    | ReleaseShards
    | FreeShards
    | AssignShards
    | PinKey
    | UnpinKey
    | AllocatePermits
    | OpenClaims
    | CompleteClaims
    | ExpireClaims
)

_codec = CommandCodec(Command)


def encode_command(command: Command) -> bytes:
    """Return ``command`` as the payload of a log entry."""
    return _codec.encode(command)


def decode_command(data: bytes) -> Command:
    """Return the command in the payload of a log entry.

    Raises:
        CodecError: The payload is damaged or its kind is unknown to this version.
    """
    return _codec.decode(data)

"""Commands of the replicated log and their encoding."""

import attrs

from cranberrylever.membership import Announcement
from cranberrylever.wire import ClaimAnswer, CommandCodec


@attrs.frozen
class AcceptTicket:
    """Accept a ticket given as TOML text."""

    text: str


@attrs.frozen
class AnnounceTarget:
    """Add or update a target; a new incarnation invalidates the earlier grants and makes the target cold."""

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
    """Remove a target that is lost or leaving and holds no shards."""

    target_id: str
    incarnation: str


@attrs.frozen
class ShardRef:
    """A shard and the fence that it had when the sender read it."""

    shard: int
    fence: int


@attrs.frozen
class ReleaseShards:
    """Change owned shards to ``releasing``; a reference with an old fence is ignored."""

    service: str
    shards: tuple[ShardRef, ...]
    reason: str = ""


@attrs.frozen
class FreeShards:
    """Change releasing shards to ``free``; a reference with an old fence is ignored."""

    service: str
    shards: tuple[ShardRef, ...]


@attrs.frozen
class ShardAssignment:
    """Assignment of a free shard to a new owner."""

    shard: int
    fence: int
    target_id: str
    incarnation: str


@attrs.frozen
class AssignShards:
    """Change free shards to ``owned``; an item with an old fence or incarnation is ignored."""

    service: str
    items: tuple[ShardAssignment, ...]


@attrs.frozen
class PinKey:
    """Move one key to a shard of its own; ignored unless the shard of its hash is free."""

    service: str
    key_hash: int


@attrs.frozen
class UnpinKey:
    """Move a pinned key back to the shard of its hash; ignored unless both shards are free."""

    service: str
    key_hash: int


@attrs.frozen
class AllocatePermits:
    """Set the permits of each entry for one cold target."""

    target_id: str
    incarnation: str
    allocations: dict[str, int]


@attrs.frozen
class ClaimOpening:
    """Request to claim one execution; ``attempt`` is its execution token."""

    claim_id: str
    fingerprint: str
    entry_id: str
    attempt: str = ""


@attrs.frozen
class OpenClaims:
    """Claim executions; the first opening of an id acquires the claim."""

    items: tuple[ClaimOpening, ...]


@attrs.frozen
class ClaimCompletion:
    """Outcome of one claimed execution; ``attempt`` is the execution token that acquired the claim."""

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
    """Remove all claims opened at or before log index ``opened_before``."""

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

_command_codec = CommandCodec(Command)


def encode_command(command: Command) -> bytes:
    """Encode ``command`` as the payload of a log entry."""
    return _command_codec.encode(command)


def decode_command(data: bytes) -> Command:
    """Decode the command in the payload of a log entry.

    Raises:
        CodecError: The payload is corrupt or this version does not know its kind.
    """
    return _command_codec.decode(data)

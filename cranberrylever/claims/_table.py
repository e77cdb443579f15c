"""Table of execution claims, part of the replicated state."""

from collections import OrderedDict
from collections.abc import Iterable
from typing import TYPE_CHECKING

import attrs
import msgspec

from cranberrylever.wire import ClaimAnswer, encode

if TYPE_CHECKING:
    from cranberrylever.state import ClaimCompletion, ClaimOpening

MAX_CLAIMS = 500_000
MAX_CLAIM_TABLE_BYTES = 268_435_456
CLAIM_OVERHEAD_BYTES = 400
"""Memory of one claim in addition to its id, fingerprint and answer."""

NOT_RUN = "not-run"
UNKNOWN = "unknown"


@attrs.frozen
class Claim:
    """Claim on one execution of a non-idempotent request.

    ``attempt`` is the execution token of the attempt that acquired the claim, and ``opened_index`` is the log
    index at which it did. ``answer`` is ``None`` while the claim is open. A claim whose answer is ``not-run``
    can be acquired again.
    """

    claim_id: str
    fingerprint: str
    entry_id: str
    attempt: str
    opened_index: int
    answer: ClaimAnswer | None = None

    @property
    def is_open(self) -> bool:
        """Whether an attempt holds the claim and has not completed it."""
        return self.answer is None

    @property
    def did_not_run(self) -> bool:
        """Whether the attempt ended without running the request; another one may then acquire the claim."""
        return self.answer is not None and self.answer.outcome == NOT_RUN

    def is_held_by(self, entry_id: str, attempt: str) -> bool:
        """Return whether this attempt of this entry acquired the claim."""
        return self.entry_id == entry_id and self.attempt == attempt


@attrs.frozen
class ClaimOutcome:
    """Result of one opening or completion; ``state`` has the values of ``wire.ClaimResult.state``."""

    claim_id: str
    state: str
    answer: ClaimAnswer | None = None


@attrs.frozen
class ClaimTableRecord:
    """Snapshot form of ``ClaimTable``; open claims are in order of opening, finished ones of completion."""

    open_claims: tuple[Claim, ...] = ()
    finished_claims: tuple[Claim, ...] = ()
    dropped_answers: int = 0


class ClaimTable:
    """Claims by id, bounded in number and in bytes.

    When a bound is reached, claims that ended ``not-run`` are evicted first. If the size still exceeds its
    bound, the oldest stored answers are replaced with ``unknown``, because a claim that is kept without its
    answer still prevents a second execution. Open and answered claims are removed only by ``expire``, because
    an evicted one could be acquired and executed again; when they reach a bound, further openings are refused
    as ``full``.

    Args:
        max_claims: Maximum number of claims.
        max_bytes: Maximum total size of ids, fingerprints, answers and a fixed overhead per claim.

    Attributes:
        dropped_answers: Number of answers replaced with ``unknown``.
        size_bytes: Total size of all claims.
    """

    def __init__(self, max_claims: int = MAX_CLAIMS, max_bytes: int = MAX_CLAIM_TABLE_BYTES) -> None:
        self.max_claims = max_claims
        self.max_bytes = max_bytes
        self.dropped_answers = 0
        self.size_bytes = 0
        self._open_claims: dict[str, Claim] = {}
        self._finished_claims: dict[str, Claim] = {}
        self._encoded_claims: dict[str, msgspec.Raw] = {}
        # OrderedDict finds its first item in constant time after many removals at the front; dict does not.
        self._ids_with_answer: OrderedDict[str, None] = OrderedDict()
        self._ids_not_run: OrderedDict[str, None] = OrderedDict()
        self._opened_indexes: OrderedDict[str, int] = OrderedDict()

    def __len__(self) -> int:
        return len(self._open_claims) + len(self._finished_claims)

    def get(self, claim_id: str) -> Claim | None:
        """Return the claim with this id, or ``None``."""
        return self._open_claims.get(claim_id) or self._finished_claims.get(claim_id)

    def open(self, index: int, openings: "Iterable[ClaimOpening]") -> tuple[ClaimOutcome, ...]:
        """Open claims in order; the first opening of an id acquires the claim.

        Args:
            index: Log index of the command.
            openings: The openings.

        Returns:
            One outcome per opening: ``won``, ``open``, ``answered``, ``mismatch`` or ``full``.
        """
        return tuple(self._process_opening(index, opening) for opening in openings)

    def complete(self, index: int, completions: "Iterable[ClaimCompletion]") -> tuple[ClaimOutcome, ...]:
        """Store the answers of executions; only the attempt that acquired a claim can complete it.

        Args:
            index: Log index of the command.
            completions: The completions.

        Returns:
            One outcome per completion: ``completed`` (also if the same attempt completed it before), ``open``
            or ``answered`` (another attempt holds or has completed the claim), ``expired`` (no such claim).
        """
        return tuple(self._process_completion(completion) for completion in completions)

    def expire(self, opened_before: int) -> int:
        """Remove all claims opened at or before a log index.

        Returns:
            The number of claims removed.
        """
        removed_count = 0
        while self._opened_indexes:
            claim_id, opened_index = next(iter(self._opened_indexes.items()))
            if opened_index > opened_before:
                break
            self._delete(claim_id)
            removed_count += 1
        return removed_count

    def to_record(self) -> ClaimTableRecord:
        """Return the snapshot form."""
        return ClaimTableRecord(
            tuple(self._open_claims.values()), tuple(self._finished_claims.values()), self.dropped_answers
        )

    def to_encoded_record(self) -> ClaimTableRecord:
        """Return the snapshot form with the finished claims already encoded.

        Encoding 100,000 claims at once would block the event loop for longer than a heartbeat interval. Only
        ``wire.encode`` accepts the result.
        """
        return attrs.evolve(self.to_record(), finished_claims=tuple(self._encoded_claims.values()))

    @classmethod
    def from_record(
        cls, record: ClaimTableRecord, max_claims: int = MAX_CLAIMS, max_bytes: int = MAX_CLAIM_TABLE_BYTES
    ) -> "ClaimTable":
        """Restore a table from its snapshot form; the bounds must be those of the original table."""
        table = cls(max_claims, max_bytes)
        table.dropped_answers = record.dropped_answers
        claims = (*record.open_claims, *record.finished_claims)
        for claim in claims:
            table._insert(claim)
        for claim in sorted(claims, key=lambda claim: claim.opened_index):
            table._opened_indexes[claim.claim_id] = claim.opened_index
        return table

    def _process_opening(self, index: int, opening: "ClaimOpening") -> ClaimOutcome:
        claim = self.get(opening.claim_id)
        if claim is not None and claim.fingerprint != opening.fingerprint:
            return ClaimOutcome(opening.claim_id, "mismatch")
        # Without a token a resend is indistinguishable from a second attempt, so it is treated as one.
        is_resend = (
            claim is not None
            and bool(opening.attempt)
            and claim.is_held_by(opening.entry_id, opening.attempt)
        )
        if claim is not None and claim.is_open:
            return ClaimOutcome(opening.claim_id, "won" if is_resend else "open")
        # A delayed copy of an opening whose execution ended not-run must not acquire the claim again.
        if claim is not None and (is_resend or not claim.did_not_run):
            return ClaimOutcome(opening.claim_id, "answered", claim.answer)
        return self._acquire(index, opening, claim)

    def _acquire(self, index: int, opening: "ClaimOpening", previous: Claim | None) -> ClaimOutcome:
        won = Claim(opening.claim_id, opening.fingerprint, opening.entry_id, opening.attempt, index)
        if previous is not None:
            self._delete(previous.claim_id)
        if not self._enforce_bounds(_claim_size_bytes(won)):
            return ClaimOutcome(opening.claim_id, "full")
        self._insert(won)
        self._opened_indexes[won.claim_id] = index
        return ClaimOutcome(opening.claim_id, "won")

    def _process_completion(self, completion: "ClaimCompletion") -> ClaimOutcome:
        claim = self.get(completion.claim_id)
        if claim is None:
            return ClaimOutcome(completion.claim_id, "expired")
        if not claim.is_held_by(completion.entry_id, completion.attempt):
            return ClaimOutcome(completion.claim_id, "open" if claim.is_open else "answered", claim.answer)
        if claim.is_open:
            self._remove(claim)
            self._insert(attrs.evolve(claim, answer=completion.answer))
            self._enforce_bounds(0)
        return ClaimOutcome(completion.claim_id, "completed")

    def _enforce_bounds(self, added_bytes: int) -> bool:
        """Evict claims that ended not-run, then the oldest answers, until the bounds are met.

        A claim that ended not-run could be acquired again anyway, so its eviction allows no second execution.

        Args:
            added_bytes: Size of the claim that is about to be added; 0 if none is.

        Returns:
            Whether the bounds are met, including the added claim.
        """
        added_claims = 1 if added_bytes else 0
        while True:
            exceeds_max_bytes = self.size_bytes + added_bytes > self.max_bytes
            if not exceeds_max_bytes and len(self) + added_claims <= self.max_claims:
                return True
            if self._ids_not_run:
                self._delete(next(iter(self._ids_not_run)))
            elif exceeds_max_bytes and self._ids_with_answer:
                self._drop_answer(next(iter(self._ids_with_answer)))
            else:
                return False

    def _drop_answer(self, claim_id: str) -> None:
        """Replace a stored answer with ``unknown``; the claim keeps its place in the order of completion."""
        claim = self._finished_claims[claim_id]
        claim_without_answer = attrs.evolve(claim, answer=ClaimAnswer(UNKNOWN))
        self._finished_claims[claim_id] = claim_without_answer
        self._encoded_claims[claim_id] = msgspec.Raw(encode(claim_without_answer))
        self.size_bytes -= _claim_size_bytes(claim) - _claim_size_bytes(claim_without_answer)
        del self._ids_with_answer[claim_id]
        self.dropped_answers += 1

    def _insert(self, claim: Claim) -> None:
        table = self._open_claims if claim.is_open else self._finished_claims
        table[claim.claim_id] = claim
        if not claim.is_open:
            self._encoded_claims[claim.claim_id] = msgspec.Raw(encode(claim))
        self.size_bytes += _claim_size_bytes(claim)
        if _answer_size_bytes(claim):
            self._ids_with_answer[claim.claim_id] = None
        if claim.did_not_run:
            self._ids_not_run[claim.claim_id] = None

    def _remove(self, claim: Claim) -> None:
        table = self._open_claims if claim.is_open else self._finished_claims
        del table[claim.claim_id]
        self._encoded_claims.pop(claim.claim_id, None)
        self.size_bytes -= _claim_size_bytes(claim)
        self._ids_with_answer.pop(claim.claim_id, None)
        self._ids_not_run.pop(claim.claim_id, None)

    def _delete(self, claim_id: str) -> None:
        del self._opened_indexes[claim_id]
        self._remove(self._open_claims.get(claim_id) or self._finished_claims[claim_id])


def _claim_size_bytes(claim: Claim) -> int:
    """Return the approximate memory use of a claim in bytes."""
    return CLAIM_OVERHEAD_BYTES + len(claim.claim_id) + len(claim.fingerprint) + _answer_size_bytes(claim)


def _answer_size_bytes(claim: Claim) -> int:
    """Return the number of bytes freed when the answer is replaced with ``unknown``."""
    if claim.answer is None or claim.did_not_run:
        return 0
    return len(claim.answer.body) + sum(len(name) + len(value) for name, value in claim.answer.headers)

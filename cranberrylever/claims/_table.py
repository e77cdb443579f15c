"""The table of execution claims, part of the replicated state."""

from collections import OrderedDict
from collections.abc import Iterable
from typing import TYPE_CHECKING

import attrs

from cranberrylever.wire import ClaimAnswer

if TYPE_CHECKING:
    from cranberrylever.state import ClaimCompletion, ClaimOpening

MAX_CLAIMS = 500_000
MAX_CLAIM_BYTES = 268_435_456
CLAIM_OVERHEAD_BYTES = 400
NOT_RUN = "not-run"
UNKNOWN = "unknown"


@attrs.frozen
class Claim:
    """One claimed execution.

    ``attempt`` is the execution token of the attempt that won the claim. ``opened_index`` is the log index
    of that win. ``answer`` is absent while the claim is open. A claim whose answer is ``not-run`` can be won
    again.
    """

    claim_id: str
    fingerprint: str
    entry_id: str
    attempt: str
    opened_index: int
    answer: ClaimAnswer | None = None

    @property
    def is_open(self) -> bool:
        """Whether an execution holds the claim."""
        return self.answer is None

    @property
    def did_not_run(self) -> bool:
        """Whether the last execution ended without running, so that another may win."""
        return self.answer is not None and self.answer.outcome == NOT_RUN

    def is_held_by(self, entry_id: str, attempt: str) -> bool:
        """Return whether this attempt of this entry won the claim."""
        return self.entry_id == entry_id and self.attempt == attempt


@attrs.frozen
class ClaimOutcome:
    """Result of one opening or completion; the states are those of ``wire.ClaimResult``."""

    claim_id: str
    state: str
    answer: ClaimAnswer | None = None


@attrs.frozen
class ClaimTableRecord:
    """Snapshot form of ``ClaimTable``: open claims by opening, finished ones by completion."""

    open_claims: tuple[Claim, ...] = ()
    finished_claims: tuple[Claim, ...] = ()
    dropped_answers: int = 0


class ClaimTable:
    """Claims by id, bounded in number and bytes.

    When a bound is reached, claims that ended not-run leave first. When the bytes are still above their
    bound, the oldest stored answers are replaced by ``unknown``, because a claim that is kept without its
    answer still prevents a second execution. Open and answered claims leave only by ``expire``, because an
    evicted one could be won and run again; when they reach a bound, further openings are refused as ``full``.

    Args:
        max_claims: Largest number of claims.
        max_bytes: Largest sum of the sizes of ids, fingerprints and answers.

    Attributes:
        dropped_answers: Number of answers replaced by ``unknown``.
        size_bytes: Sum of the sizes of all claims.
    """

    def __init__(self, max_claims: int = MAX_CLAIMS, max_bytes: int = MAX_CLAIM_BYTES) -> None:
        self.max_claims = max_claims
        self.max_bytes = max_bytes
        self.dropped_answers = 0
        self.size_bytes = 0
        # OrderedDict finds its first item in constant time after many removals at the front; dict does not.
        self._open: dict[str, Claim] = {}
        self._finished: dict[str, Claim] = {}
        self._with_answer: OrderedDict[str, None] = OrderedDict()
        self._not_run: OrderedDict[str, None] = OrderedDict()
        self._by_opening: OrderedDict[str, int] = OrderedDict()

    def __len__(self) -> int:
        return len(self._open) + len(self._finished)

    def get(self, claim_id: str) -> Claim | None:
        """Return a claim by id."""
        return self._open.get(claim_id) or self._finished.get(claim_id)

    def open(self, index: int, openings: "Iterable[ClaimOpening]") -> tuple[ClaimOutcome, ...]:
        """Claim executions in order; the first claim of an id wins.

        Args:
            index: Log index of the command.
            openings: The openings.

        Returns:
            One outcome per opening: ``won``, ``open``, ``answered``, ``mismatch`` or ``full``.
        """
        return tuple(self._open_one(index, opening) for opening in openings)

    def complete(self, index: int, completions: "Iterable[ClaimCompletion]") -> tuple[ClaimOutcome, ...]:
        """Store the answers of executions; only the attempt that won a claim completes it.

        Args:
            index: Log index of the command.
            completions: The completions.

        Returns:
            One outcome per completion: ``completed`` (also when the same attempt had completed it before),
            ``open`` or ``answered`` (another attempt holds or answered it), ``expired`` (no such claim).
        """
        return tuple(self._complete_one(completion) for completion in completions)

    def expire(self, opened_before: int) -> int:
        """Forget all claims opened at or before a log index.

        Returns:
            The number of claims forgotten.
        """
        count = 0
        while self._by_opening:
            claim_id, opened_index = next(iter(self._by_opening.items()))
            if opened_index > opened_before:
                break
            self._forget(claim_id)
            count += 1
        return count

    def to_record(self) -> ClaimTableRecord:
        """Return the snapshot form."""
        return ClaimTableRecord(
            tuple(self._open.values()), tuple(self._finished.values()), self.dropped_answers
        )

    @classmethod
    def from_record(
        cls, record: ClaimTableRecord, max_claims: int = MAX_CLAIMS, max_bytes: int = MAX_CLAIM_BYTES
    ) -> "ClaimTable":
        """Return the table that ``record`` was made from; pass the same bounds."""
        table = cls(max_claims, max_bytes)
        table.dropped_answers = record.dropped_answers
        claims = (*record.open_claims, *record.finished_claims)
        for claim in claims:
            table._insert(claim)
        for claim in sorted(claims, key=lambda claim: claim.opened_index):
            table._by_opening[claim.claim_id] = claim.opened_index
        return table

    def _open_one(self, index: int, opening: "ClaimOpening") -> ClaimOutcome:
        claim = self.get(opening.claim_id)
        if claim is not None and claim.fingerprint != opening.fingerprint:
            return ClaimOutcome(opening.claim_id, "mismatch")
        # An opening without a token can't be told from a second attempt, so it is never won again.
        is_resend = (
            claim is not None
            and bool(opening.attempt)
            and claim.is_held_by(opening.entry_id, opening.attempt)
        )
        if claim is not None and claim.is_open:
            return ClaimOutcome(opening.claim_id, "won" if is_resend else "open")
        # A late copy of an opening that has already ended not-run must not hold the claim again.
        if claim is not None and (is_resend or not claim.did_not_run):
            return ClaimOutcome(opening.claim_id, "answered", claim.answer)
        return self._win(index, opening, claim)

    def _win(self, index: int, opening: "ClaimOpening", previous: Claim | None) -> ClaimOutcome:
        won = Claim(opening.claim_id, opening.fingerprint, opening.entry_id, opening.attempt, index)
        if previous is not None:
            self._forget(previous.claim_id)
        if not self._make_room(_size(won)):
            return ClaimOutcome(opening.claim_id, "full")
        self._insert(won)
        self._by_opening[won.claim_id] = index
        return ClaimOutcome(opening.claim_id, "won")

    def _complete_one(self, completion: "ClaimCompletion") -> ClaimOutcome:
        claim = self.get(completion.claim_id)
        if claim is None:
            return ClaimOutcome(completion.claim_id, "expired")
        if not claim.is_held_by(completion.entry_id, completion.attempt):
            return ClaimOutcome(completion.claim_id, "open" if claim.is_open else "answered", claim.answer)
        if claim.is_open:
            self._remove(claim)
            self._insert(attrs.evolve(claim, answer=completion.answer))
            self._make_room(0)
        return ClaimOutcome(completion.claim_id, "completed")

    def _make_room(self, needed_bytes: int) -> bool:
        """Drop claims that ended not-run, then the oldest answers, until one more claim fits.

        A claim that ended not-run may be won again anyway, so its loss allows no second execution.

        Args:
            needed_bytes: Size of the claim to add, 0 when none is added.

        Returns:
            Whether the bounds are kept.
        """
        added = 1 if needed_bytes else 0
        while True:
            has_too_many_bytes = self.size_bytes + needed_bytes > self.max_bytes
            if not has_too_many_bytes and len(self) + added <= self.max_claims:
                return True
            if self._not_run:
                self._forget(next(iter(self._not_run)))
            elif has_too_many_bytes and self._with_answer:
                self._drop_answer(next(iter(self._with_answer)))
            else:
                return False

    def _drop_answer(self, claim_id: str) -> None:
        """Replace a stored answer by ``unknown`` and keep the claim's place in the order."""
        claim = self._finished[claim_id]
        bare = attrs.evolve(claim, answer=ClaimAnswer(UNKNOWN))
        self._finished[claim_id] = bare
        self.size_bytes -= _size(claim) - _size(bare)
        del self._with_answer[claim_id]
        self.dropped_answers += 1

    def _insert(self, claim: Claim) -> None:
        table = self._open if claim.is_open else self._finished
        table[claim.claim_id] = claim
        self.size_bytes += _size(claim)
        if _answer_size(claim):
            self._with_answer[claim.claim_id] = None
        if claim.did_not_run:
            self._not_run[claim.claim_id] = None

    def _remove(self, claim: Claim) -> None:
        table = self._open if claim.is_open else self._finished
        del table[claim.claim_id]
        self.size_bytes -= _size(claim)
        self._with_answer.pop(claim.claim_id, None)
        self._not_run.pop(claim.claim_id, None)

    def _forget(self, claim_id: str) -> None:
        del self._by_opening[claim_id]
        self._remove(self._open.get(claim_id) or self._finished[claim_id])


def _size(claim: Claim) -> int:
    """Return the approximate memory of a claim in bytes."""
    return CLAIM_OVERHEAD_BYTES + len(claim.claim_id) + len(claim.fingerprint) + _answer_size(claim)


def _answer_size(claim: Claim) -> int:
    """Return the bytes that are freed when the answer is replaced by ``unknown``."""
    if claim.answer is None or claim.did_not_run:
        return 0
    return len(claim.answer.body) + sum(len(name) + len(value) for name, value in claim.answer.headers)

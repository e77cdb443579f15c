"""Pending proposals and reads of a member."""

import asyncio

import attrs

from cranberrylever.errors import CranberryleverError, NotLeaderError, ProposalLostError


@attrs.frozen
class _Proposal:
    """Proposal that waits until its entry is applied."""

    term: int
    future: asyncio.Future


@attrs.frozen
class _ConfirmedRead:
    """Confirmed read that waits until ``index`` is applied."""

    index: int
    future: asyncio.Future


def proposal_lost_error() -> ProposalLostError:
    """Return the error for a proposal whose outcome is unknown after a change of leadership."""
    return ProposalLostError(
        "leadership changed while the proposal was pending",
        "check whether the proposal was applied before you repeat it",
    )


class PendingCalls:
    """Futures of the pending proposals and reads of one member."""

    def __init__(self) -> None:
        self._proposals: dict[int, _Proposal] = {}
        self._reads: dict[int, asyncio.Future] = {}
        self._confirmed_reads: list[_ConfirmedRead] = []

    def add_proposal(self, index: int, term: int) -> asyncio.Future:
        """Create the future of the proposal at ``index`` in ``term``."""
        future = asyncio.get_running_loop().create_future()
        self._proposals[index] = _Proposal(term, future)
        return future

    def finish_proposal(self, index: int, term: int, result: object) -> None:
        """Set the result of the proposal at ``index``, or fail it if an entry of another term replaced it."""
        proposal = self._proposals.pop(index, None)
        if proposal is None or proposal.future.done():
            return
        if proposal.term == term:
            proposal.future.set_result(result)
        else:
            proposal.future.set_exception(proposal_lost_error())

    def fail_proposals(self, error: CranberryleverError, before_term: int | None = None) -> None:
        """Fail all pending proposals, or only those from terms before ``before_term``."""
        proposals, self._proposals = self._proposals, {}
        for index, proposal in proposals.items():
            if before_term is not None and proposal.term >= before_term:
                self._proposals[index] = proposal
            else:
                _fail(proposal.future, error)

    def add_read(self, read_id: int) -> asyncio.Future:
        """Create the future of an unconfirmed read."""
        future = asyncio.get_running_loop().create_future()
        self._reads[read_id] = future
        return future

    def confirm_read(self, read_id: int, index: int) -> None:
        """Mark a read as confirmed; it finishes when ``index`` is applied."""
        self._confirmed_reads.append(_ConfirmedRead(index, self._reads.pop(read_id)))

    def fail_read(self, read_id: int, error: CranberryleverError) -> None:
        """Fail an unconfirmed read."""
        _fail(self._reads.pop(read_id), error)

    def finish_reads(self, applied_index: int) -> None:
        """Finish the confirmed reads that only need entries up to ``applied_index``."""
        remaining = []
        for read in self._confirmed_reads:
            if read.index > applied_index:
                remaining.append(read)
            elif not read.future.done():
                read.future.set_result(None)
        self._confirmed_reads = remaining

    def fail_all(self, error: ProposalLostError) -> None:
        """Fail all pending proposals with ``error`` and all reads with ``NotLeaderError``."""
        self.fail_proposals(error)
        for future in [*self._reads.values(), *(read.future for read in self._confirmed_reads)]:
            _fail(future, NotLeaderError())
        self._reads = {}
        self._confirmed_reads = []


def _fail(future: asyncio.Future, error: CranberryleverError) -> None:
    if not future.done():
        future.set_exception(error)

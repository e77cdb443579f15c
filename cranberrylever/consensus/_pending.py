"""Proposals and reads that wait for the log."""

import asyncio

import attrs

from cranberrylever.errors import CranberryleverError, NotLeaderError, ProposalLostError


@attrs.frozen
class _Proposal:
    """A proposal that waits for its entry to be applied."""

    term: int
    future: asyncio.Future


@attrs.frozen
class _Barrier:
    """A confirmed read that waits until ``index`` is applied."""

    index: int
    future: asyncio.Future


def proposal_lost() -> ProposalLostError:
    """Return the error of a proposal whose outcome is not known."""
    return ProposalLostError(
        "leadership changed while the proposal was pending", "check whether it took effect, then repeat it"
    )


class PendingCalls:
    """Futures of the callers of one member."""

    def __init__(self) -> None:
        self._proposals: dict[int, _Proposal] = {}
        self._reads: dict[int, asyncio.Future] = {}
        self._barriers: list[_Barrier] = []

    def add_proposal(self, index: int, term: int) -> asyncio.Future:
        """Return the future of the entry proposed at ``index`` in ``term``."""
        future = asyncio.get_running_loop().create_future()
        self._proposals[index] = _Proposal(term, future)
        return future

    def finish_proposal(self, index: int, term: int, result: object) -> None:
        """Answer the proposal at ``index``; an entry of another term has taken its place otherwise."""
        proposal = self._proposals.pop(index, None)
        if proposal is None or proposal.future.done():
            return
        if proposal.term == term:
            proposal.future.set_result(result)
        else:
            proposal.future.set_exception(proposal_lost())

    def fail_proposals(self, error: CranberryleverError, before_term: int | None = None) -> None:
        """End the waiting proposals, or only those of terms before ``before_term``."""
        proposals, self._proposals = self._proposals, {}
        for index, proposal in proposals.items():
            if before_term is not None and proposal.term >= before_term:
                self._proposals[index] = proposal
            else:
                _fail(proposal.future, error)

    def add_read(self, read_id: int) -> asyncio.Future:
        """Return the future of a read that waits for its confirmation."""
        future = asyncio.get_running_loop().create_future()
        self._reads[read_id] = future
        return future

    def confirm_read(self, read_id: int, index: int) -> None:
        """Let a read wait until ``index`` is applied."""
        self._barriers.append(_Barrier(index, self._reads.pop(read_id)))

    def fail_read(self, read_id: int, error: CranberryleverError) -> None:
        """End a read that was not confirmed."""
        _fail(self._reads.pop(read_id), error)

    def release_reads(self, applied_index: int) -> None:
        """Answer the confirmed reads up to ``applied_index``."""
        waiting = []
        for barrier in self._barriers:
            if barrier.index > applied_index:
                waiting.append(barrier)
            elif not barrier.future.done():
                barrier.future.set_result(None)
        self._barriers = waiting

    def fail_all(self, error: ProposalLostError) -> None:
        """End everything that waits: proposals with ``error``, reads with ``NotLeaderError``."""
        self.fail_proposals(error)
        for future in [*self._reads.values(), *(barrier.future for barrier in self._barriers)]:
            _fail(future, NotLeaderError())
        self._reads = {}
        self._barriers = []


def _fail(future: asyncio.Future, error: CranberryleverError) -> None:
    if not future.done():
        future.set_exception(error)

"""What an entry reads from and writes into the headers of callers and targets, whatever their names."""

import abc

import attrs

Headers = list[tuple[bytes, bytes]]


@attrs.frozen
class CallHeaders:
    """What a caller's headers say.

    ``deadline`` is how long it waits in seconds, ``None`` when it does not say.
    ``key`` is the number of the key that the request is about, ``None`` without one.
    """

    request_id: bytes
    deadline: float | None
    key: int | None


@attrs.frozen
class LoadSample:
    """Load that a target reports: work running and waiting, its slots, and the pace of its machine.

    ``pace`` is how long work takes at this moment relative to the usual time.
    """

    running: int
    waiting: int
    slots: int
    pace: float


@attrs.frozen
class AnswerHeaders:
    """What a target's headers say about its answer.

    ``did_not_run`` is its statement that it did not run the request. ``is_genuine`` tells whether the answer
    bears the mark that the target puts on each result.
    """

    did_not_run: bool
    is_genuine: bool
    load: LoadSample | None


class HeaderFormat(abc.ABC):
    """Names and forms of the headers between callers, entries and targets."""

    id_header: bytes = b""
    """Lower-case name of the header in which targets repeat the id of a request."""

    @abc.abstractmethod
    def read_call(self, headers: Headers) -> CallHeaders:
        """Return what a caller's headers say; a value that can't be read counts as missing."""

    @abc.abstractmethod
    def target_headers(self, headers: Headers, target_id: str, remaining: float) -> Headers:
        """Return a caller's headers as they go on to a target.

        Args:
            headers: End-to-end headers of the caller.
            target_id: The target that may run the request; another one at its address must refuse.
            remaining: Seconds that the caller still waits.
        """

    @abc.abstractmethod
    def read_answer(self, status: int, headers: Headers) -> AnswerHeaders:
        """Return what a target's answer says."""

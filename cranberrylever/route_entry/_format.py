"""What an entry reads from and writes into the headers of callers and targets, whatever their names."""

import abc

import attrs

from cranberrylever.keyspace import KEY_SPACE_SIZE

Headers = list[tuple[bytes, bytes]]

MAX_DIGITS = 12


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

    ``slowdown`` is how long work takes at this moment relative to the usual time.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float


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
    """Lower-case names of the headers, and how a target's answer is read.

    ``id_header`` holds the id of a request, which targets repeat; ``deadline_header`` how many milliseconds
    the caller waits; ``key_header`` the number of its key; ``target_header`` the target that may run the
    request.
    """

    id_header: bytes
    deadline_header: bytes
    key_header: bytes
    target_header: bytes

    def read_call(self, headers: Headers) -> CallHeaders:
        """Return what a caller's headers say; a value that can't be read counts as missing."""
        values = dict(headers)
        deadline = whole_number(values.get(self.deadline_header))
        key = whole_number(values.get(self.key_header))
        return CallHeaders(
            values.get(self.id_header, b""),
            None if deadline is None else deadline / 1000,
            key if key is not None and key < KEY_SPACE_SIZE else None,
        )

    def target_headers(self, headers: Headers, target_id: str, remaining: float) -> Headers:
        """Return a caller's headers as they go on to a target.

        Args:
            headers: End-to-end headers of the caller.
            target_id: The target that may run the request; another one at its address must refuse.
            remaining: Seconds that the caller still waits.
        """
        own = (self.deadline_header, self.target_header)
        kept = [pair for pair in headers if pair[0] not in own]
        kept.append((self.deadline_header, b"%d" % max(1, int(remaining * 1000))))
        kept.append((self.target_header, target_id.encode("latin-1", "replace")))
        return kept

    @abc.abstractmethod
    def read_answer(self, status: int, headers: Headers) -> AnswerHeaders:
        """Return what a target's answer says."""


def whole_number(value: bytes | None) -> int | None:
    """Return a decimal number, ``None`` when there is none or it is too long to be one."""
    return int(value) if value is not None and value.isdigit() and len(value) <= MAX_DIGITS else None

"""Limit on the memory that answers take in an entry, from a target's first byte to the caller's last.

Answers that callers read slowly stay in the process. Two rules bound them. A new request is refused while the
answers that are held, and what the running requests are expected to add, reach the limit. As many running
requests may be answered at once, a large answer is read from its target only while it fits: the others wait
at their targets, in the order in which they came.
"""

import math
from collections import deque
from collections.abc import Callable

MIN_COUNTED_BYTES = 16_384
"""Size from which an answer counts; 2,000 smaller ones take 32 MB."""

FULL_RETRY_AFTER_S = 0.5
"""Delay after which the caller of a refused request may retry."""

_HALVING_COUNT = 64
"""Answers after which the sums of the expected size are halved, so that old answers count less."""

_MIN_SAMPLE = 8
"""Number of answers below which the expected size is not taken from them alone."""


class AnswerPlace:
    """Memory of one answer that is read from a target; it is given back when the last reference is gone.

    So it lasts exactly as long as the answer, whoever drops it.
    """

    def __init__(self, memory: "AnswerMemory", size: int) -> None:
        self.memory = memory
        self.size = size
        self.is_reserved = False
        self.start: Callable[[], None] | None = None

    def __del__(self) -> None:
        if self.is_reserved:
            self.memory.change(-self.size)


class AnswerMemory:
    """Bytes of answers in this process, and the requests and answers that have to wait for them.

    Args:
        limit: Bytes that answers may take together.
    """

    def __init__(self, limit: float = math.inf) -> None:
        self.limit = limit
        self.held = 0
        self.peak = 0
        self.waiting: deque[AnswerPlace] = deque()
        self._answers = 0.0
        self._unsent = 0.0

    # Requests ----------------------------------------------------------------------------------------

    def is_full(self, running: int) -> bool:
        """Return whether a new request is refused beside ``running`` others."""
        return self.held + running * self.expected_unsent() >= self.limit

    def refusal(self) -> str:
        """Return why a request is refused and what its caller can do."""
        return (
            f"answers that callers have not read take {self.held} of the {self.limit} bytes that this entry "
            "has for them; use another entry, or read faster"
        )

    def expected_unsent(self) -> float:
        """Return the mean number of bytes of recent answers that callers did not take at once."""
        return self._unsent / max(self._answers, _MIN_SAMPLE)

    def record_answer(self) -> None:
        """Count an answer of a target that is written to its caller."""
        self._answers += 1.0
        if self._answers > _HALVING_COUNT:
            self._answers /= 2
            self._unsent /= 2

    def record_unsent(self, size: int) -> None:
        """Count the bytes of an answer that its caller did not take at once."""
        self._unsent += size

    # Answers -----------------------------------------------------------------------------------------

    def reserve(self, size: int, start: Callable[[], None]) -> AnswerPlace:
        """Return the place of an answer; ``start`` is called later if it has to wait for it."""
        place = AnswerPlace(self, size)
        if not self.waiting and self._fits(size):
            self._admit(place)
        else:
            place.start = start
            self.waiting.append(place)
        return place

    def cancel(self, place: AnswerPlace) -> None:
        """Let an answer that nobody wants any more wait no longer."""
        if not place.is_reserved:
            self.waiting.remove(place)
            self._admit_waiting()

    def admit_complete(self, place: AnswerPlace) -> None:
        """Count an answer that has arrived completely before it could be made to wait."""
        if not place.is_reserved:
            self.waiting.remove(place)
            self._admit(place)

    def change(self, difference: int) -> None:
        """Count bytes that answers take from now on, or give back."""
        self.held += difference
        if difference > 0:
            self.peak = max(self.peak, self.held)
        elif self.waiting:
            self._admit_waiting()

    def _fits(self, size: int) -> bool:
        return self.held + size <= self.limit or self.held <= 0

    def _admit(self, place: AnswerPlace) -> None:
        place.is_reserved = True
        self.change(place.size)

    def _admit_waiting(self) -> None:
        while self.waiting and self._fits(self.waiting[0].size):
            place = self.waiting.popleft()
            self._admit(place)
            place.start()

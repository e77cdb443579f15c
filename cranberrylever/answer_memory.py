"""Limit on the memory that answers take in an entry, from a target's first byte to the caller's last.

Answers that callers read slowly stay in the process. Two rules bound them. A new request is refused while the
answers that are held, and what the running requests are expected to add, reach the limit. As many running
requests may be answered at once, a large answer is read from its target only while it fits: the others wait
at their targets, in the order in which they came.
"""

import math

from cranberrylever.memory_limit import MemoryLimit

FULL_RETRY_AFTER_S = 0.5
"""Delay after which the caller of a refused request may retry."""

_HALVING_COUNT = 64
"""Answers after which the sums of the expected size are halved, so that old answers count less."""

_MIN_SAMPLE = 8
"""Number of answers below which the expected size is not taken from them alone."""


class AnswerMemory(MemoryLimit):
    """Bytes of answers in this process, and the requests and answers that have to wait for them.

    Args:
        limit: Bytes that answers may take together.
    """

    def __init__(self, limit: float = math.inf) -> None:
        super().__init__(limit)
        self._answers = 0.0
        self._unsent = 0.0

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

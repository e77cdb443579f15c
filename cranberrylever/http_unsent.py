"""Answers that a listener which stops cannot send in time."""

from collections.abc import Callable, Iterable

import attrs

from cranberrylever.http_protocol import StrictHttpProtocol
from cranberrylever.logs import Log

MAX_NAMES = 100
"""Limit on the requests that the log names together."""


@attrs.frozen
class CutOffAnswers:
    """Answers of which a part was still in the process at the end, without those of requests that still ran.

    ``unsent_bytes`` is the size of these parts and ``requests`` names the requests, at most ``MAX_NAMES``.
    """

    answers: int = 0
    unsent_bytes: int = 0
    requests: tuple[str, ...] = ()

    def __add__(self, other: "CutOffAnswers") -> "CutOffAnswers":
        """Return the answers of two listeners together."""
        return CutOffAnswers(
            self.answers + other.answers,
            self.unsent_bytes + other.unsent_bytes,
            (*self.requests, *other.requests)[:MAX_NAMES],
        )

    def write_to(self, log: Log) -> None:
        """Log the answers if there are any."""
        if self.answers:
            log.warning(
                "answers_cut_off", answers=self.answers, unsent_bytes=self.unsent_bytes, ids=self.requests
            )


def method_and_path(scope: dict) -> str:
    """Return the name of a request that has no id."""
    return f"{scope['method']} {scope['path']}"


def find_unsent(
    connections: Iterable[StrictHttpProtocol], name_request: Callable[[dict], str] = method_and_path
) -> CutOffAnswers:
    """Return the answers of which a part is still in the process."""
    unsent = [connection for connection in connections if connection.transport.unsent_bytes()]
    named = [name_request(item.answered_scope) for item in unsent[:MAX_NAMES] if item.answered_scope]
    return CutOffAnswers(len(unsent), sum(item.transport.unsent_bytes() for item in unsent), tuple(named))

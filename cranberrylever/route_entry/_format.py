"""Interface for the headers that an entry exchanges with callers and targets."""

import abc

import attrs

from cranberrylever.keyspace import KEY_SPACE_SIZE

Headers = list[tuple[bytes, bytes]]

AUTHORIZATION = b"authorization"

_UNAVAILABLE_STATUS = 503

MAX_DIGITS = 12
"""Longest decimal number that is read from a header, in digits."""


@attrs.frozen
class CallerHeaders:
    """Values from a caller's headers.

    ``deadline`` is the number of seconds that the caller waits, ``None`` when the header is missing.
    ``key`` is the number of the request's key, ``None`` without one.
    """

    request_id: bytes
    deadline: float | None
    key: int | None


@attrs.frozen
class LoadSample:
    """Load that a target reports: requests running and waiting, slots, and slowdown.

    ``slowdown`` is the present service time relative to the expected one.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float


@attrs.frozen
class AnswerHeaders:
    """Values from the headers of a target's answer.

    ``did_not_run`` reports that the target states it did not run the request. ``is_genuine`` reports whether
    the answer has the header by which a target marks each result as its own. ``rate_limit`` is the number of
    requests per second that the target accepts from all entries together, ``None`` without a limit.
    ``is_leaving`` reports that the target says it leaves. ``rest_time`` is the number of seconds for which
    a target that is unavailable wants no request from this entry, ``None`` when it states none.
    """

    did_not_run: bool
    is_genuine: bool
    load: LoadSample | None
    rate_limit: float | None = None
    is_leaving: bool = False
    rest_time: float | None = None


class HeaderFormat(abc.ABC):
    """Lower-case names of the headers, and the parser for a target's answer.

    ``id_header`` holds the request id, which targets repeat; ``deadline_header`` the number of milliseconds
    that the caller waits; ``key_header`` the number of the request's key; ``target_header`` the id of the
    target that may run the request; ``customer_header`` the name of the customer that sends it, which only
    entries set.
    """

    id_header: bytes
    deadline_header: bytes
    key_header: bytes
    target_header: bytes
    customer_header: bytes

    def read_call(self, headers: Headers) -> CallerHeaders:
        """Parse a caller's headers; an invalid value counts as missing."""
        values = dict(headers)
        deadline = parse_decimal(values.get(self.deadline_header))
        key = parse_decimal(values.get(self.key_header))
        return CallerHeaders(
            values.get(self.id_header, b""),
            None if deadline is None else deadline / 1000,
            key if key is not None and key < KEY_SPACE_SIZE else None,
        )

    def target_headers(
        self, headers: Headers, target_id: str, remaining: float, customer: str | None = None
    ) -> Headers:
        """Return a caller's headers as they are sent to a target.

        Args:
            headers: End-to-end headers of the caller.
            target_id: The target that may run the request; another target at its address must refuse it.
            remaining: Seconds until the caller's deadline.
            customer: Name of the customer, empty without one; ``None`` if the plan has no customers, so that
                an Authorization header is the target's own matter.
        """
        kept = self.peer_headers(headers, remaining)
        if customer is not None:
            kept = [pair for pair in kept if pair[0] != AUTHORIZATION]
        if customer:
            kept.append((self.customer_header, customer.encode("ascii")))
        kept.append((self.target_header, target_id.encode("latin-1", "replace")))
        return kept

    def peer_headers(self, headers: Headers, remaining: float) -> Headers:
        """Return a caller's headers as they are sent to another entry, with the seconds that it has.

        The other entry authenticates the request again, by the caller's API key.
        """
        own_headers = (self.deadline_header, self.target_header)
        kept = [pair for pair in headers if pair[0] not in own_headers and not self._names_customer(pair[0])]
        kept.append((self.deadline_header, b"%d" % max(1, int(remaining * 1000))))
        return kept

    def _names_customer(self, name: bytes) -> bool:
        """Return whether a receiver may read a header as the customer's; some fold underscores to hyphens."""
        return name.lower().replace(b"_", b"-") == self.customer_header

    @abc.abstractmethod
    def read_answer(self, status: int, headers: Headers) -> AnswerHeaders:
        """Parse the headers of a target's answer."""


def read_rest_time(status: int, retry_after: bytes | None) -> float | None:
    """Return the seconds for which the target that sent an answer wants no request, ``None`` without any.

    Only a 503 states them, as a number of seconds. A date is ignored, because clocks may differ, as is a
    value that is negative or unreadable.
    """
    return parse_rate(retry_after) if status == _UNAVAILABLE_STATUS else None


def parse_decimal(value: bytes | None) -> int | None:
    """Return a decimal number, ``None`` if there is none or it has more than ``MAX_DIGITS`` digits."""
    return int(value) if value is not None and value.isdigit() and len(value) <= MAX_DIGITS else None


def parse_rate(value: bytes | None) -> float | None:
    """Return a number with an optional fraction, ``None`` if there is none or it has too many digits."""
    digits = value.strip() if value is not None else b""
    if len(digits) > MAX_DIGITS or not digits.replace(b".", b"", 1).isdigit():
        return None
    return float(digits)

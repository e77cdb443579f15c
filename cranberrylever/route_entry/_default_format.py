"""Default header format between callers, entries and targets."""

from cranberrylever.route_entry._format import (
    AnswerHeaders,
    HeaderFormat,
    Headers,
    LoadSample,
    parse_decimal,
    parse_rate,
    read_rest_time,
)

OUTCOME = b"cranberrylever-outcome"
LOAD = b"cranberrylever-load"
RATE_LIMIT = b"cranberrylever-rate-limit"
LEAVING = b"cranberrylever-leaving"
RETRY_AFTER = b"retry-after"
NOT_RUN = b"not-run"
DONE = b"done"

_LOAD_FIELDS = 4


class DefaultHeaderFormat(HeaderFormat):
    """The headers that ``docs/routes.md`` describes."""

    id_header = b"cranberrylever-request-id"
    deadline_header = b"cranberrylever-deadline-ms"
    key_header = b"cranberrylever-key"
    target_header = b"cranberrylever-target"
    customer_header = b"cranberrylever-customer"

    def read_answer(self, status: int, headers: Headers) -> AnswerHeaders:
        """Parse the headers of a target's answer."""
        values = dict(headers)
        outcome = values.get(OUTCOME)
        return AnswerHeaders(
            outcome == NOT_RUN,
            outcome == DONE,
            _read_load(values.get(LOAD)),
            parse_rate(values.get(RATE_LIMIT)),
            values.get(LEAVING) == b"1",
            read_rest_time(status, values.get(RETRY_AFTER)),
        )


def _read_load(value: bytes | None) -> LoadSample | None:
    parts = [parse_decimal(part.strip()) for part in (value or b"").split(b",")]
    if len(parts) != _LOAD_FIELDS or None in parts:
        return None
    running, waiting, slots, percent = parts
    return LoadSample(running, waiting, slots, max(0.1, percent / 100))

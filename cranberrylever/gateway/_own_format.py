"""The product's own names of the headers between callers, entries and targets."""

from cranberrylever.gateway._format import AnswerHeaders, CallHeaders, HeaderFormat, Headers, LoadSample
from cranberrylever.keyspace import KEYS

REQUEST_ID = b"cranberrylever-request-id"
DEADLINE_MS = b"cranberrylever-deadline-ms"
KEY = b"cranberrylever-key"
TARGET = b"cranberrylever-target"
OUTCOME = b"cranberrylever-outcome"
LOAD = b"cranberrylever-load"
NOT_RUN = b"not-run"
DONE = b"done"

_LOAD_FIELDS = 4


class OwnFormat(HeaderFormat):
    """Headers as ``docs/routes.md`` describes them."""

    id_header = REQUEST_ID

    def read_call(self, headers: Headers) -> CallHeaders:
        """Return what a caller's headers say."""
        values = dict(headers)
        deadline = whole_number(values.get(DEADLINE_MS))
        key = whole_number(values.get(KEY))
        return CallHeaders(
            values.get(REQUEST_ID, b""),
            None if deadline is None else deadline / 1000,
            key if key is not None and key < KEYS else None,
        )

    def target_headers(self, headers: Headers, target_id: str, remaining: float) -> Headers:
        """Return a caller's headers with the time left and the target that shall run the request."""
        kept = [pair for pair in headers if pair[0] not in (DEADLINE_MS, TARGET)]
        kept.append((DEADLINE_MS, b"%d" % max(1, int(remaining * 1000))))
        kept.append((TARGET, target_id.encode()))
        return kept

    def read_answer(self, status: int, headers: Headers) -> AnswerHeaders:
        """Return what a target's answer says."""
        values = dict(headers)
        outcome = values.get(OUTCOME)
        return AnswerHeaders(outcome == NOT_RUN, outcome == DONE, _read_load(values.get(LOAD)))


def whole_number(value: bytes | None) -> int | None:
    """Return a decimal number, ``None`` when there is none or it is too long to be one."""
    return int(value) if value is not None and value.isdigit() and len(value) <= 12 else None


def _read_load(value: bytes | None) -> LoadSample | None:
    parts = [whole_number(part.strip()) for part in (value or b"").split(b",")]
    if len(parts) != _LOAD_FIELDS or None in parts:
        return None
    running, waiting, slots, percent = parts
    return LoadSample(running, waiting, slots, max(0.1, percent / 100))

"""Seeds of planned stops that have failed; real processes repeat them often, not always."""

import attrs


@attrs.frozen
class Regression:
    """A seed that failed, with the cause."""

    seed: int
    seconds: float
    sends_more_signals: bool
    cause: str


REGRESSIONS = (
    Regression(15, 4.0, False, "an entry ended while its callers still read: parts of answers"),
    Regression(16, 4.0, False, "requests at a silent target were cut off at the end of the stop"),
    Regression(3, 8.0, True, "a second SIGTERM, or SIGHUP, ended the process at once"),
)

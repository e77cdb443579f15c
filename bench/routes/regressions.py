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
    Regression(27, 8.0, False, "an entry ended while its callers still read: parts of answers"),
    Regression(28, 8.0, False, "the same"),
    Regression(22, 8.0, False, "requests at a silent target were cut off at the end of the stop"),
    Regression(216, 8.0, False, "the same"),
    Regression(3, 8.0, True, "a second SIGTERM, or SIGHUP, ended the process at once"),
)

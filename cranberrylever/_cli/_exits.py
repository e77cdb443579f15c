"""Exit codes of the command line."""

import enum


class ExitCode(enum.IntEnum):
    """Exit code of a command."""

    OK = 0
    FAILED = 1
    USAGE = 2
    UNAVAILABLE = 3
    REFUSED = 4
    UNAUTHORIZED = 5


EXIT_HELP = (
    "Exit codes: 0 success, 1 the program failed, 2 invalid usage, setting or ticket file, "
    "3 control unreachable or without a leader, 4 refused by control, 5 token refused."
)

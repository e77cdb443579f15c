"""The ``trace`` command, which finds the log lines about one request."""

from pathlib import Path
from typing import Annotated

import typer

from cranberrylever.errors import SettingError


def trace(
    request_id: Annotated[str, typer.Argument(help="Id of the request, as sent by its caller.")],
    logs: Annotated[list[Path], typer.Argument(help="Log files of entries and control members.")],
) -> None:
    """Print the log lines about one request and about the changes that may explain its outcome."""
    from cranberrylever.tracing import read_lines
    from cranberrylever.tracing import trace as trace_request

    missing = [path for path in logs if not path.is_file()]
    if missing:
        raise SettingError(f"{missing[0]} is not a file", "give log files of entries and control members")
    lines = trace_request(read_lines(logs), request_id)
    if not lines:
        raise SettingError(
            f"no log line contains request {request_id!r}", "give the logs of the entry that received it"
        )
    for line in lines:
        typer.echo(line.text())

"""Command line interface of cranberrylever."""

import sys

import typer

from cranberrylever._cli._docs import docs_app
from cranberrylever._cli._exits import EXIT_HELP, ExitCode
from cranberrylever._cli._programs import control, dev, entry, route_control, route_entry, target
from cranberrylever._cli._status import status, version
from cranberrylever._cli._tickets import ticket_app
from cranberrylever._cli._trace import trace
from cranberrylever.errors import (
    ControlRefusedError,
    ControlUnavailableError,
    CranberryleverError,
    SettingError,
    TicketError,
    UnauthorizedError,
)

_EXIT_CODES: dict[type[CranberryleverError], ExitCode] = {
    SettingError: ExitCode.USAGE,
    TicketError: ExitCode.USAGE,
    ControlUnavailableError: ExitCode.UNAVAILABLE,
    ControlRefusedError: ExitCode.REFUSED,
    UnauthorizedError: ExitCode.UNAUTHORIZED,
}

app = typer.Typer(
    help="Router for servers that own keys exclusively.",
    epilog=EXIT_HELP,
    no_args_is_help=True,
    rich_markup_mode=None,
    pretty_exceptions_enable=False,
)
app.command()(entry)
app.command()(control)
app.command()(route_entry)
app.command()(route_control)
app.command()(target)
app.command()(dev)
app.command()(status)
app.command()(version)
app.command()(trace)
app.add_typer(ticket_app, name="ticket")
app.add_typer(docs_app, name="docs")


def main(arguments: list[str] | None = None) -> None:
    """Run the command line; an error is printed on one line and sets the exit code.

    Args:
        arguments: The arguments after the program name (default: the arguments of the process).
    """
    try:
        app(arguments, prog_name="cranberrylever")
    except CranberryleverError as error:
        print(f"error: {' '.join(str(error).split())}", file=sys.stderr)
        sys.exit(_EXIT_CODES.get(type(error), ExitCode.FAILED))

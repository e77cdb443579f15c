"""The ``ticket`` commands."""

import json
from pathlib import Path
from typing import Annotated, Any

import typer

from cranberrylever._cli._client import call_control
from cranberrylever._cli._options import with_settings
from cranberrylever.errors import TicketError
from cranberrylever.settings import OperatorSettings
from cranberrylever.tickets import Ticket, parse_ticket, ticket_digest

TicketFile = Annotated[str, typer.Argument(help="The ticket, a TOML file.", metavar="FILE")]
AsJson = Annotated[bool, typer.Option("--json", help="Print JSON.", show_default=False)]

ticket_app = typer.Typer(help="Check, submit and read change tickets.", no_args_is_help=True)


@ticket_app.command("check")
def check_ticket(file: TicketFile) -> None:
    """Validate a ticket without sending it."""
    ticket, _ = _read_ticket(file)
    typer.echo(f"ticket {ticket.number} is valid, digest {ticket_digest(ticket)}")


@ticket_app.command("submit")
@with_settings(OperatorSettings)
def submit_ticket(settings: OperatorSettings, file: TicketFile, as_json: AsJson = False) -> None:
    """Submit a ticket; a repeated submission gets the first answer again."""
    _, text = _read_ticket(file)
    outcome = call_control(settings, "POST", "/v1/tickets", text)
    if as_json:
        typer.echo(json.dumps(outcome))
        return
    word = "had been accepted before" if outcome["repeated"] else "accepted"
    typer.echo(f"ticket {outcome['number']} {word} at index {outcome['index']}, digest {outcome['digest']}")


def _read_ticket(file: str) -> tuple[Ticket, str]:
    try:
        text = Path(file).read_text(encoding="utf-8")
    except OSError as error:
        raise TicketError(f"{file} can't be read: {error.strerror}", "give the path of a ticket") from error
    except UnicodeDecodeError as error:
        raise TicketError(f"{file} is not UTF-8 text", "save it as UTF-8") from error
    result: Any = parse_ticket(text)
    if result.is_err():
        error = result.unwrap_err()
        raise TicketError(f"{file}: {error.message}", error.remedy)
    return result.unwrap(), text

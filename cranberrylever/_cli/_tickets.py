"""The ``ticket`` commands."""

import json
from pathlib import Path
from typing import TYPE_CHECKING, Any

import typer

from cranberrylever._cli._arguments import AsJson, Check, TicketFile, TicketNumber
from cranberrylever._cli._options import with_settings
from cranberrylever._cli._tables import format_table
from cranberrylever.errors import TicketError
from cranberrylever.operator_api import TicketSummary
from cranberrylever.settings import OperatorSettings

if TYPE_CHECKING:
    from cranberrylever.tickets import Ticket

SHORT_DIGEST_LENGTH = 12

ticket_app = typer.Typer(help="Check, submit and read change tickets.", no_args_is_help=True)


@ticket_app.command("check")
def check_ticket(file: TicketFile) -> None:
    """Validate a ticket without sending it."""
    from cranberrylever.tickets import ticket_digest

    ticket, _ = _read_ticket(file)
    typer.echo(f"ticket {ticket.number} is valid, digest {ticket_digest(ticket)}")


@ticket_app.command("submit")
@with_settings(OperatorSettings)
def submit_ticket(
    settings: OperatorSettings, file: TicketFile, as_json: AsJson = False, check: Check = False
) -> None:
    """Submit a ticket; a repeated submission gets the answer of the first one."""
    from cranberrylever._cli._client import call_control, read_answer
    from cranberrylever.tickets import TicketOutcome

    _, text = _read_ticket(file)
    if check:
        typer.echo("the settings and the ticket are valid")
        return
    content = call_control(settings, "POST", "/v1/tickets", text)
    outcome = read_answer(content, TicketOutcome)
    if as_json:
        typer.echo(json.dumps(content))
        return
    status_text = "was already accepted" if outcome.repeated else "accepted"
    typer.echo(f"ticket {outcome.number} {status_text} at index {outcome.index}, digest {outcome.digest}")


@ticket_app.command("show")
@with_settings(OperatorSettings)
def show_ticket(settings: OperatorSettings, number: TicketNumber = None, as_json: AsJson = False) -> None:
    """Print an accepted ticket, or the accepted state of all objects as a ticket."""
    from cranberrylever._cli._client import call_control, read_answer
    from cranberrylever.tickets import AcceptedTicket

    if number is not None:
        content = call_control(settings, "GET", f"/v1/tickets/{number}")
        ticket = read_answer(content, AcceptedTicket)
        typer.echo(json.dumps(content) if as_json else ticket.text, nl=as_json)
        return
    content = call_control(settings, "GET", "/v1/configuration")
    typer.echo(json.dumps(content) if as_json else _format_state(content))


@ticket_app.command("list")
@with_settings(OperatorSettings)
def list_tickets(settings: OperatorSettings, as_json: AsJson = False) -> None:
    """List the accepted tickets that control stores, in order of acceptance."""
    from cranberrylever._cli._client import call_control, read_answer

    content = call_control(settings, "GET", "/v1/tickets")
    tickets = read_answer(content, tuple[TicketSummary, ...])
    if as_json:
        typer.echo(json.dumps(content))
        return
    rows = [(ticket.number, ticket.index, ticket.digest[:SHORT_DIGEST_LENGTH]) for ticket in tickets]
    typer.echo(format_table("tickets", ("number", "index", "digest"), rows))


@ticket_app.command("diff")
@with_settings(OperatorSettings)
def diff_ticket(settings: OperatorSettings, file: TicketFile, as_json: AsJson = False) -> None:
    """Print what a ticket would change in the accepted state."""
    from cranberrylever._cli._client import call_control
    from cranberrylever.tickets import describe_changes

    ticket, _ = _read_ticket(file)
    configuration = _read_configuration(call_control(settings, "GET", "/v1/configuration"))
    changes = describe_changes(ticket, configuration)
    if as_json:
        typer.echo(json.dumps({"number": ticket.number, "changes": changes}))
        return
    typer.echo("\n".join(changes) if changes else f"ticket {ticket.number} changes nothing")


def _read_ticket(file: str) -> "tuple[Ticket, str]":
    """Return the ticket in a file and its text."""
    from cranberrylever.tickets import parse_ticket

    try:
        text = Path(file).read_text(encoding="utf-8")
    except OSError as error:
        raise TicketError(
            f"{file} cannot be read: {error.strerror}", "give the path of a ticket file"
        ) from error
    except UnicodeDecodeError as error:
        raise TicketError(f"{file} is not UTF-8 text", "save it as UTF-8") from error
    result = parse_ticket(text)
    if result.is_err():
        error = result.unwrap_err()
        raise TicketError(f"{file}: {error.message}", error.remedy)
    return result.unwrap(), text


def _read_configuration(content: Any) -> Any:
    from cranberrylever._cli._client import read_answer
    from cranberrylever.tickets import Configuration

    return read_answer(content, Configuration)


def _format_state(content: Any) -> str:
    from cranberrylever.tickets import format_configuration

    return format_configuration(_read_configuration(content)).rstrip()

"""Commands that run a program."""

import typer

from cranberrylever._cli._arguments import Check
from cranberrylever._cli._options import with_settings
from cranberrylever._cli._run import run_program
from cranberrylever.settings import (
    ControlSettings,
    DevSettings,
    EntrySettings,
    RouteControlSettings,
    RouteEntrySettings,
    TargetSettings,
)


@with_settings(EntrySettings)
def entry(settings: EntrySettings, check: Check = False) -> None:
    """Run an entry, which serves callers over HTTP."""
    if check:
        return _print_valid()
    from cranberrylever.entry import create_entry

    return run_program(create_entry(settings), "the entry")


@with_settings(ControlSettings)
def control(settings: ControlSettings, check: Check = False) -> None:
    """Run a control member, which stores the durable state."""
    if check:
        return _print_valid()
    from cranberrylever.control import create_control

    return run_program(create_control(settings), "the control member")


@with_settings(RouteEntrySettings)
def route_entry(settings: RouteEntrySettings, check: Check = False) -> None:
    """Run an entry that serves routes."""
    if check:
        return _print_valid()
    from cranberrylever.route_entry import DefaultHeaderFormat, create_route_entry

    return run_program(create_route_entry(settings, DefaultHeaderFormat()), "the entry")


@with_settings(RouteControlSettings)
def route_control(settings: RouteControlSettings, check: Check = False) -> None:
    """Run a control member that manages routes."""
    if check:
        return _print_valid()
    from cranberrylever.route_control import DefaultGrantClient, create_route_api, create_route_control

    domains = frozenset(settings.failure_domains)
    program = create_route_control(
        settings,
        DefaultGrantClient(),
        lambda service, forwarder: create_route_api(service, forwarder, domains),
    )
    return run_program(program, "the control member")


@with_settings(TargetSettings)
def target(settings: TargetSettings, check: Check = False) -> None:
    """Run a stand-in target for tests and benchmarks."""
    if check:
        return _print_valid()
    from cranberrylever.target import create_target

    return run_program(create_target(settings, exit_on_crash=True), "the target")


@with_settings(DevSettings)
def dev(settings: DevSettings, check: Check = False) -> None:
    """Run one control member, two entries and six stand-in targets in one process on loopback."""
    if check:
        return _print_valid()
    from cranberrylever.dev import run_dev

    return run_dev(settings.token)


def _print_valid() -> None:
    typer.echo("the settings are valid")

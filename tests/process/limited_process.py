"""Starts an entry or a control member whose settings, limits included, are environment variables."""

import asyncio
import contextlib
import importlib
import os
import signal
import sys

import tests.platform  # noqa: F401 - makes the modules of platform/ importable
from cranberrylever.route_control import create_route_control
from cranberrylever.route_entry import create_route_entry
from cranberrylever.settings import RouteControlSettings, RouteEntrySettings, load_settings
from cranberrylever.stop_signals import set_at_stop_signal, wait_for_stop
from tests.platform import ROOT

STOP_TIMEOUT_S = 10.0


def create_program(role):
    if role == "entry":
        call_headers = importlib.import_module("call_headers")
        return create_route_entry(load_settings(RouteEntrySettings, {}), call_headers.PlatformFormat())
    control_api = importlib.import_module("control_api")
    settings = load_settings(RouteControlSettings, {})
    return create_route_control(
        settings,
        importlib.import_module("grant_client").PlatformGrantClient(),
        lambda service, forwarder: control_api.ControlApi(service, forwarder, settings).app(),
        control_api.HEADERS_TO_FORWARD,
    )


async def run(role):
    program = create_program(role)
    stop = asyncio.Event()
    with set_at_stop_signal(stop):
        await program.start()
        try:
            await wait_for_stop(program, stop)
        finally:
            await program.close()


@contextlib.asynccontextmanager
async def limited_process(role, settings):
    """Run a program with settings, by the names of their variables without the prefix; yield the process."""
    environment = {f"CRANBERRYLEVER_{name}": value for name, value in settings.items()}
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "tests.process.limited_process",
        role,
        cwd=ROOT,
        stdout=asyncio.subprocess.DEVNULL,
        env={**os.environ, **environment},
    )
    try:
        yield process
    finally:
        if process.returncode is None:
            process.send_signal(signal.SIGTERM)
            try:
                await asyncio.wait_for(process.wait(), STOP_TIMEOUT_S)
            except TimeoutError:
                process.kill()
                await process.wait()


if __name__ == "__main__":
    asyncio.run(run(sys.argv[1]))

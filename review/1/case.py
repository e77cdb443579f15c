"""Two machines of the core freeze one after the other; the members that come back form a second group."""

import asyncio
import random
import signal
import sys
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "common"))

from harness import CannotRunError, Client, Server, System, call, main, route, service  # noqa: E402

ZONES = ["lhr-a", "lhr-b", "skt-a", "skt-b", "gjw-a"]
TOLERATED = 2  # as on pbdtc-gate-grown; one is lost at a time here
FREEZE_S = 6.5  # node_freeze of core machines lasts up to 7.8 s on the sites' days
RECOVERY_S = 4.0  # a machine stays lost for recovery_s after it is back
CONTACT_S = 3.0
EVAC_S = 5.0
CONVERGE_S = 2.0


async def keep_running(system):
    """Start ended processes again after a short delay, as the platform does."""
    while True:
        for program in system.controls:
            if program.has_ended():
                system.record.say(f"{program.name} ended by itself with status {program.process.returncode}")
                await system.restart(program, 0.5)
        await asyncio.sleep(0.1)


async def send_load(client):
    """Send 20 requests a second to the pooled service."""
    while True:
        client.system.spawn(client.send("/a/20"))
        await asyncio.sleep(0.05)


async def script(system: System, trouble: bool):
    """Freeze two founders in turn, then give orders and watch whether they are in force."""
    record = system.record
    system.start(ZONES, ZONES[:2])
    servers = []
    for number, zone in enumerate(ZONES):
        ip = f"{system.network}.{150 + number}"
        servers.append(await Server(system, f"i-{number}", "export-seal", zone, ip).start())
    first = system.plan(3, [route("a", "export-seal")], [service("export-seal")])
    if (await system.put(first, 0))[0] != 200:
        raise CannotRunError("the first configuration is not accepted")
    changed = system.plan(5, [route("a", "export-seal"), route("b", "export-seal")], [service("export-seal")])
    if (await system.put(changed, 3))[0] != 200:
        raise CannotRunError("the second configuration is not accepted")
    await system.wait_ready()
    system.spawn(keep_running(system))
    client = Client(system)
    system.spawn(send_load(client))
    await asyncio.sleep(4.0)

    founders = system.controls[:3]
    for victim in random.sample(founders, 2):
        if trouble:
            victim.send_signal(signal.SIGSTOP)
        await asyncio.sleep(FREEZE_S)
        if trouble:
            victim.send_signal(signal.SIGCONT)
        await asyncio.sleep(RECOVERY_S + 2.0)
    # Longer than contact_s and recovery_s after the last disruption: all machines are in touch.
    await asyncio.sleep(RECOVERY_S + CONTACT_S)

    broken = []
    for program in system.controls:
        answer = await call(program.control, "GET", "/Config.Get", timeout=2.0)
        record.say(f"{program.name} Config.Get: {answer.status} {answer.body[:70]}")
    # The same configuration again, with no other change made since: it must not be refused.
    for program in system.controls:
        status, _ = await system.put(changed, 3, [program.control], 1.0)
        record.say(f"{program.name} the accepted configuration again: {status}")
        if status in (400, 409, 412, 413, 422):
            broken.append(f"CONFIG {program.name} refuses the accepted configuration with {status}")
    # The operator takes any daemon; the orders are for two zones, so that each is judged alone.
    orders = []
    for program, server in ((random.choice(founders), servers[0]), (system.controls[4], servers[1])):
        path = f"/Evacuations.Start/{server.zone}"
        status, _ = await system.order(path, addresses=[program.control], seconds=1.0)
        record.say(f"{program.name} evacuation of {server.zone}: {status}")
        if status == 200:
            orders.append((server, record.now()))
    await asyncio.sleep(EVAC_S + 4.0)
    for server, acknowledged_at in orders:
        late = [run for run in server.runs if run[0] > acknowledged_at + EVAC_S]
        if late:
            broken.append(
                f"EVAC {server.name} in {server.zone} got {len(late)} requests over {EVAC_S} s after the"
                f" acknowledgement at {acknowledged_at:.2f}, the last at {late[-1][0]:.2f}"
            )
    answered = [status for _, status in client.answers.values()]
    record.say(f"{len(answered)} requests answered, {answered.count(200)} with success")
    return broken


if __name__ == "__main__":
    main(CASE, script, ZONES, TOLERATED)

"""Two of five machines of the core lose their disks at once, as many as the settings say are borne."""

import asyncio
import random
import shutil
import sys
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "common"))

from harness import KEYS, CannotRunError, Client, Server, System, call, main, route, service  # noqa: E402

ZONES = ["lhr-a", "lhr-b", "skt-a", "skt-b", "gjw-a"]
TOLERATED = 2  # tolerate.nodes of pbdtc-gate-grown
DOWN_S = 1.2
RECOVER_S = 15.0
CONTACT_S = 3.0
MEASURED_S = 5.0
MIN_SERVED = 0.25


async def send_load(client):
    """Send 30 requests a second to the keyed service."""
    while True:
        client.system.spawn(client.send("/lookup/20", key=random.randrange(KEYS)))
        await asyncio.sleep(0.033)


def served_share(client, first, last):
    """Return the share of the requests sent in a span of time that were answered with success."""
    statuses = [status for sent_at, status in client.answers.values() if first <= sent_at < last]
    return statuses.count(200) / max(1, len(statuses))


async def read_back(system):
    """Ask every daemon for the configuration for ``contact_s``; return what came."""
    bodies = []
    end = system.record.now() + CONTACT_S
    while system.record.now() < end:
        for program in system.controls:
            answer = await call(program.control, "GET", "/Config.Get")
            system.record.write(
                f"operator GET /Config.Get at {program.name}: {answer.status} {answer.body[:60]}"
            )
            if answer.status == 200:
                bodies.append((program.name, answer.body))
        await asyncio.sleep(0.2)
    return bodies


async def script(system: System, trouble: bool):
    """Lose two disks right after a configuration was acknowledged, then read it back."""
    record = system.record
    system.start(ZONES, ZONES[:2])
    for number in range(6):
        ip = f"{system.network}.{150 + number}"
        zone = ZONES[number % len(ZONES)]
        await Server(system, f"i-{number}", "maker-registry", zone, ip, sharded=True).start()
    services = [service("maker-registry", sharded=True)]
    first = system.plan(3, [route("lookup", "maker-registry")], services)
    if (await system.put(first, 0))[0] != 200:
        raise CannotRunError("the first configuration is not accepted")
    await system.wait_ready()
    client = Client(system)
    system.spawn(send_load(client))
    await asyncio.sleep(10.0)
    before = served_share(client, record.now() - MEASURED_S, record.now() - 0.5)
    if before < MIN_SERVED:
        raise CannotRunError(f"only {before:.2f} of the requests are served before the fault")

    newest = system.plan(5, [route("lookup", "maker-registry"), route("other", "maker-registry")], services)
    status, by = await system.put(newest, 3)
    record.say(f"configuration r5: {status} by {by}")
    if status != 200:
        raise CannotRunError("the second configuration is not accepted")
    if trouble:
        # The seeds are the machines that have most of the state; any two may be hit.
        victims = random.sample(system.controls[:3], TOLERATED)
        for program in victims:
            program.process.kill()
        for program in victims:
            program.process.wait()
            shutil.rmtree(program.folder / "data")
            record.say(f"{program.name} is off and has lost its disk")
        await asyncio.sleep(DOWN_S)
        for program in victims:
            await system.restart(program, 0.0)
    back_at = record.now()
    await asyncio.sleep(RECOVER_S + MEASURED_S + 2.5)

    broken = []
    after = served_share(client, back_at + RECOVER_S, back_at + RECOVER_S + MEASURED_S)
    record.say(f"served: {before:.2f} before the fault, {after:.2f} later than recover_s after it")
    if after < MIN_SERVED:
        broken.append(f"RECOVER {after:.2f} of the requests are served, {before:.2f} before the fault")
    bodies = await read_back(system)
    record.say(f"Config.Get came {len(bodies)} times in {CONTACT_S} s")
    if not bodies:
        broken.append("CONFIG the acknowledged configuration r5 doesn't come")
    broken += [f"CONFIG {name} answers another configuration" for name, body in bodies if body != newest]
    return broken


if __name__ == "__main__":
    main(CASE, script, ZONES, TOLERATED)

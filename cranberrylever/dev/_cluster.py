"""One control member, two entries and six stand-in targets on one event loop."""

import asyncio
import socket

import attrs

from cranberrylever.control import ControlProgram, create_control
from cranberrylever.entry import EntryProgram, create_entry
from cranberrylever.settings import ControlSettings, EntrySettings, LogSettings, PeerAddress, TargetSettings
from cranberrylever.target import TargetProgram, create_target

HOST = "127.0.0.1"
CLUSTER_ID = "dev"
FAILURE_DOMAINS = ("coast", "valley", "plateau")
KEYED_SERVICE = "project-ledger"
POOLED_SERVICE = "materials-desk"
EXAMPLE_TICKET = f"""\
number = 1

[[service]]
name = "{KEYED_SERVICE}"
kind = "keyed"
shards = 64

[[service]]
name = "{POOLED_SERVICE}"
kind = "pooled"

""" + "\n".join(f'[[failure_domain]]\nname = "{name}"\nstate = "active"\n' for name in FAILURE_DOMAINS)


def free_address() -> str:
    """Return ``host:port`` of a loopback port that is free at the time of the call."""
    with socket.socket() as listener:
        listener.bind((HOST, 0))
        return f"{HOST}:{listener.getsockname()[1]}"


@attrs.define
class DevCluster:
    """The programs of the demonstration.

    Attributes:
        data_dir: Directory for the data of control and the log.
        token: Bearer token of the operator API; empty for none.
    """

    data_dir: str
    token: str = ""
    control_http: str = attrs.field(factory=free_address)
    control_rpc: str = attrs.field(factory=free_address)
    control: ControlProgram | None = None
    entries: list[EntryProgram] = attrs.field(factory=list)
    targets: list[TargetProgram] = attrs.field(factory=list)

    async def start(self) -> None:
        """Start control, then the entries and targets."""
        self.control = create_control(self.control_settings())
        await self.control.start()
        self.entries = [create_entry(self.entry_settings(number)) for number in (1, 2)]
        self.targets = [create_target(settings) for settings in self.target_settings()]
        await asyncio.gather(*(program.start() for program in (*self.entries, *self.targets)))

    async def close(self) -> None:
        """Stop the entries, then the targets, which have no work by then, then control."""
        await asyncio.gather(*(entry.close() for entry in self.entries))
        await asyncio.gather(*(target.stop() for target in self.targets))
        if self.control is not None:
            await self.control.close()

    def log_settings(self) -> LogSettings:
        """Return the log settings of all programs; they share one file."""
        return LogSettings(destination=f"{self.data_dir}/dev.log")

    def control_settings(self) -> ControlSettings:
        """Return the settings of the control member."""
        return ControlSettings(
            cluster_id=CLUSTER_ID,
            member_id="control-1",
            peers=(PeerAddress("control-1", self.control_rpc, self.control_http),),
            data_dir=f"{self.data_dir}/control-1",
            bootstrap=True,
            failure_domain=FAILURE_DOMAINS[0],
            token=self.token,
            log=self.log_settings(),
        )

    def entry_settings(self, number: int) -> EntrySettings:
        """Return the settings of an entry."""
        return EntrySettings(
            cluster_id=CLUSTER_ID,
            entry_id=f"entry-{number}",
            listen=free_address(),
            control=(self.control_rpc,),
            failure_domain=FAILURE_DOMAINS[number - 1],
            drain_delay=0.0,
            log=self.log_settings(),
        )

    def target_settings(self) -> list[TargetSettings]:
        """Return the settings of the targets: one of each service in each failure domain."""
        return [
            TargetSettings(
                target_id=f"{prefix}-{number}",
                service=service,
                listen=f"{HOST}:0",
                control=(self.control_http,),
                failure_domain=domain,
                token=self.token,
                log=self.log_settings(),
            )
            for prefix, service in (("ledger", KEYED_SERVICE), ("desk", POOLED_SERVICE))
            for number, domain in enumerate(FAILURE_DOMAINS, start=1)
        ]

"""The ``control`` program, one member of the control group."""

import asyncio

from cranberrylever.consensus import ConsensusConfig, RaftDriver, create_driver, open_disk_storage
from cranberrylever.control._entries import EntryService
from cranberrylever.control._grants import GrantSender
from cranberrylever.control._leader import LeaderLoop
from cranberrylever.control._metrics import ControlMetrics
from cranberrylever.control._operator import create_operator_app
from cranberrylever.control._placement import PlacementLog
from cranberrylever.control._service import ControlService
from cranberrylever.control_member import LeaderForwarder, PeerTransport, RpcServer, StateMachineAdapter
from cranberrylever.http_server import HttpServer
from cranberrylever.logs import Log, install_log
from cranberrylever.metrics import create_metrics
from cranberrylever.ownership import Coordinator
from cranberrylever.settings import ControlSettings
from cranberrylever.state import ClusterState, decode_command

RPC_CLOSE_TIMEOUT_S = 1.0


class ControlProgram:
    """A control member: replicated state, gRPC streams for peers and entries, and the operator API."""

    def __init__(self, settings: ControlSettings) -> None:
        self.settings = settings
        self.address = settings.own_address
        self.log = Log("control", settings.member_id, settings.log.level)
        self.state = ClusterState()
        self.machine = StateMachineAdapter(self.state, decode_command)
        self.coordinator = Coordinator(self.state)
        self.forwarder = LeaderForwarder({peer.member_id: peer.http for peer in settings.peers}.get)
        self.driver: RaftDriver | None = None
        self.metrics = create_metrics(settings.statsd, f"control.{settings.member_id}")

    async def start(self) -> None:
        """Open the data directory, start the listeners and join the group.

        Raises:
            StorageError: The data directory cannot be used.
            OSError: An address cannot be bound.
        """
        self.installed_log = install_log(self.settings.log)
        self._create_components()
        await self._listen()
        await self.transport.start()
        await self.driver.start()
        await self.grants.start()
        self.leader.start()
        self.log.info("control_started", folder_id=self.driver.folder_id, applied=self.driver.applied_index)

    async def wait_failure(self) -> None:
        """Wait until this member stops without being closed.

        Raises:
            CranberryleverError: The error that stopped it.
        """
        error = await self.driver.wait_stopped()
        if error is not None:
            raise error

    async def close(self) -> None:
        """Step down and close the data directory, then the listeners and the log."""
        if self.driver is None:
            return
        await self.leader.close()
        await self.grants.close()
        await self.entries.close()
        # The other members elect a leader only once this one stops its heartbeats, and until then no member
        # renews grants; so the driver closes before the listeners.
        await self.driver.close()
        cut_off = await self.http.close()
        cut_off.write_to(self.log)
        await self.rpc.close()
        await self.transport.close()
        await self.forwarder.close()
        self.metrics.close()
        self.installed_log.close()

    def _create_components(self) -> None:
        settings = self.settings
        members = {peer.member_id: peer.rpc for peer in settings.peers}
        config = ConsensusConfig(settings.cluster_id, settings.member_id, members)
        storage = open_disk_storage(settings.data_dir, settings.cluster_id, settings.bootstrap)
        self.transport = PeerTransport(settings.cluster_id, settings.member_id, members)
        self.driver = create_driver(config, storage, self.transport, self.machine)
        self.leader = LeaderLoop(self.driver, self.coordinator, self.log, self._after_step)
        self.entries = EntryService(settings.cluster_id, self.leader, self.coordinator)
        self.grants = GrantSender(
            settings.cluster_id, self.coordinator, self.leader.is_serving, settings.token
        )
        placement_log = PlacementLog(self.state, self.leader.is_serving, self.log)
        self.machine.callbacks.append(placement_log)
        self.control_metrics = ControlMetrics(self.metrics, self.driver, self.leader, self.coordinator)
        self.machine.callbacks.append(self.leader.on_applied)
        service = ControlService(settings.cluster_id, self.driver, self.leader, self.coordinator)
        self.http = HttpServer(
            create_operator_app(service, settings.token, self.forwarder), self.address.http
        )
        self.rpc = RpcServer([self.transport, self.entries], RPC_CLOSE_TIMEOUT_S, self.log)

    async def _listen(self) -> None:
        await self.rpc.start(self.address.rpc)
        await self.http.start()

    def _after_step(self) -> None:
        self.grants.send_due()
        self.control_metrics.send_due(asyncio.get_running_loop().time())
        self.entries.push_view()


def create_control(settings: ControlSettings) -> ControlProgram:
    """Create a control member; the caller starts it."""
    return ControlProgram(settings)

"""The control program that steers routes: one member of the control group."""

import asyncio
import shutil
from collections.abc import Callable
from pathlib import Path

import grpclib.server
from starlette.applications import Starlette

from cranberrylever.consensus import ConsensusConfig, create_driver, open_disk_storage
from cranberrylever.control_member import LeaderForwarder, PeerTransport, StateMachineAdapter
from cranberrylever.errors import CranberryleverError, StorageError
from cranberrylever.http_server import HttpServer
from cranberrylever.logs import Log, install_log
from cranberrylever.metrics import create_exposed_metrics
from cranberrylever.route_control._commands import command_codec
from cranberrylever.route_control._feed import FeedService
from cranberrylever.route_control._grant_client import GrantClient
from cranberrylever.route_control._granter import Granter
from cranberrylever.route_control._leader import RouteControlLeader
from cranberrylever.route_control._metrics import RouteControlMetrics
from cranberrylever.route_control._service import LeaderRouteControlService, RouteControlService
from cranberrylever.route_control._state import RouteControlState
from cranberrylever.settings import RouteControlSettings, split_address
from cranberrylever.wire import MsgpackCodec

RPC_CLOSE_TIMEOUT_S = 0.5
STORAGE_RETRY_S = 0.5
HANDOVER_WAIT_S = 0.3
"""Time in which a successor is elected before this member closes its connections."""

AppFactory = Callable[[RouteControlService, LeaderForwarder], Starlette]


class RouteControlProgram:
    """One control member: replicated state, duties of the leader, streams and the HTTP interface.

    Args:
        settings: Settings.
        grant_client: Calls to targets.
        create_app: Makes the HTTP interface for operators and targets.
        headers_to_forward: Headers that go on to the leader with a forwarded request.
        running_since: Loop time since which this process has run, ``None`` when it is not known.
    """

    def __init__(
        self,
        settings: RouteControlSettings,
        grant_client: GrantClient,
        create_app: AppFactory,
        headers_to_forward: tuple[str, ...],
        running_since: float | None = None,
    ) -> None:
        self.settings = settings
        self.running_since = running_since
        self.grant_client = grant_client
        self.create_app = create_app
        self.log = Log("control", settings.rpc, settings.log.level)
        self.forwarder = LeaderForwarder(self._http_of, headers_to_forward, settings.forward_timeout)
        self.stopping = False
        self.failed = asyncio.Event()
        self.error: CranberryleverError | None = None
        self.watcher: asyncio.Task[None] | None = None
        self.metrics_server: HttpServer | None = None

    async def start(self) -> None:
        """Open the data folder, join the group and listen.

        Raises:
            StorageError: The data folder cannot be used.
            OSError: An address cannot be bound.
        """
        self.installed_log = install_log(self.settings.log)
        self.metrics = create_exposed_metrics()
        await self._start_member()
        if self.settings.metrics_listen:
            self.metrics_server = HttpServer(self.metrics.app(), self.settings.metrics_listen)
            await self.metrics_server.start()
        self.watcher = asyncio.get_running_loop().create_task(self._watch())

    async def wait_failure(self) -> None:
        """Wait until this member stops by itself.

        Raises:
            CranberryleverError: What stopped it.
        """
        await self.failed.wait()
        if self.error is not None:
            raise self.error

    async def close(self) -> None:
        """Hand leadership over, then close the listeners and the data folder."""
        self.stopping = True
        if self.watcher is None:
            return
        self.watcher.cancel()
        if self.driver.leader_since is not None:
            self.log.info("leadership_handed_over", term=self.driver.term)
            self.driver.transfer_leadership()
            await asyncio.sleep(HANDOVER_WAIT_S)
        await self._close_member()
        await self.forwarder.close()
        if self.metrics_server is not None:
            await self.metrics_server.close()
        self.log.info("control_stopped", applied=self.driver.applied_index)
        self.installed_log.close()

    async def _start_member(self) -> None:
        settings = self.settings
        is_founder = settings.rpc in settings.founders
        founds = settings.bootstrap and is_founder and not _has_data(Path(settings.data_dir))
        storage = open_disk_storage(settings.data_dir, settings.cluster_id, founds)
        members = {member: member for member in settings.founders} if is_founder else {}
        contacts = tuple(dict.fromkeys((*settings.contacts, *settings.founders)))
        config = ConsensusConfig(
            settings.cluster_id,
            settings.rpc,
            members,
            contacts=contacts,
            silent_since=self._take_running_since(),
        )
        self.state = RouteControlState()
        machine = StateMachineAdapter(self.state, command_codec.decode)
        self.transport = PeerTransport(settings.cluster_id, settings.rpc, {}, ids_are_addresses=True)
        self.driver = create_driver(config, storage, self.transport, machine)
        self.granter = Granter(self.grant_client, self._is_serving, self._wake, self.metrics, self.log)
        self.leader = RouteControlLeader(
            self.driver, self.state, self.granter, settings.notice_interval, self.log
        )
        self.feed = FeedService(settings.cluster_id, self.driver, self.leader, self.state, self.log)
        self.reporter = RouteControlMetrics(self.metrics, self.driver, self.leader, self.state)
        self.leader.after_step = self._after_step
        machine.callbacks.append(self.leader.on_applied)
        service = LeaderRouteControlService(self.driver, self.leader, self.state, self.metrics, self.log)
        self.http = HttpServer(self.create_app(service, self.forwarder), settings.http)
        self.rpc = grpclib.server.Server([self.transport, self.feed], codec=MsgpackCodec())
        # The folder is read first: when it can't be, nothing else has been opened.
        await self.driver.start()
        await self.rpc.start(*split_address(settings.rpc_listen or settings.rpc))
        await self.transport.start()
        self.leader.start()
        await self.http.start()
        self.log.info(
            "control_started",
            folder_id=self.driver.folder_id,
            founds=founds,
            applied=self.driver.applied_index,
            contacts=contacts,
        )

    def _take_running_since(self) -> float | None:
        """Return since when this process runs; nothing for a member that is started again in it.

        That one may have heard a leader a moment ago.
        """
        running_since, self.running_since = self.running_since, None
        return running_since

    async def _close_member(self) -> None:
        await self.leader.close()
        await self.granter.close()
        await self.driver.close()
        await self.http.close()
        self.rpc.close()
        try:
            async with asyncio.timeout(RPC_CLOSE_TIMEOUT_S):
                await self.rpc.wait_closed()
        except TimeoutError:
            self.log.warning("rpc_close_timeout", seconds=RPC_CLOSE_TIMEOUT_S)
        await self.transport.close()

    async def _watch(self) -> None:
        """Start the member again after a fault of its disk.

        When the group has replaced this member, it starts as a learner on an empty folder.
        """
        while True:
            error = await self.driver.wait_stopped()
            if self.stopping:
                return
            if not isinstance(error, StorageError):
                self.error = error
                self.failed.set()
                return
            await self._close_member()
            if self.driver.is_retired:
                self.log.warning("member_retired", error=str(error), folder_id=self.driver.folder_id)
                shutil.rmtree(self.settings.data_dir, ignore_errors=True)
            await self._start_again(error)

    async def _start_again(self, error: CranberryleverError) -> None:
        """Open the data folder again until it can be used; a full or faulty disk may recover."""
        while True:
            self.log.warning("member_restarts", error=str(error), pause=STORAGE_RETRY_S)
            await asyncio.sleep(STORAGE_RETRY_S)
            try:
                await self._start_member()
            except (StorageError, OSError) as again:
                error = StorageError(str(again), "make room or replace the disk")
            else:
                return

    def _after_step(self) -> None:
        self.feed.push()
        self.reporter.show_due(asyncio.get_running_loop().time())

    def _is_serving(self) -> bool:
        return self.leader.is_serving()

    def _wake(self) -> None:
        self.leader.wake.set()

    def _http_of(self, member_id: str) -> str | None:
        """Return the HTTP address of a member, whose id is its rpc address."""
        host, _ = split_address(member_id)
        _, port = split_address(self.settings.http)
        return f"{host}:{port}"


def _has_data(folder: Path) -> bool:
    """Tell whether a data folder is in use."""
    return folder.is_dir() and any(folder.iterdir())


def create_route_control(
    settings: RouteControlSettings,
    grant_client: GrantClient,
    create_app: AppFactory,
    headers_to_forward: tuple[str, ...] = (),
    running_since: float | None = None,
) -> RouteControlProgram:
    """Return a control member that is not started yet."""
    return RouteControlProgram(settings, grant_client, create_app, headers_to_forward, running_since)

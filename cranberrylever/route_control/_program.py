"""The route control program: one member of the control group."""

import asyncio
from collections.abc import Callable
from pathlib import Path

import attrs
from starlette.applications import Starlette

from cranberrylever.consensus import (
    ConsensusConfig,
    create_driver,
    open_disk_storage,
    reset_disk_folder,
    voters_needed,
)
from cranberrylever.control_member import LeaderForwarder, PeerTransport, RpcServer, StateMachineAdapter
from cranberrylever.errors import CranberryleverError, StorageError
from cranberrylever.http_given_up import GivenUpConnections
from cranberrylever.http_limits import create_limits
from cranberrylever.http_server import HttpServer
from cranberrylever.logs import Log, install_log
from cranberrylever.metrics import create_exposed_metrics
from cranberrylever.route_control._announcement_relay import AnnouncementRelay
from cranberrylever.route_control._commands import command_codec
from cranberrylever.route_control._feed import FeedService
from cranberrylever.route_control._grant_client import GrantClient
from cranberrylever.route_control._leader import RouteControlLeader
from cranberrylever.route_control._lease_manager import LeaseManager
from cranberrylever.route_control._metrics import RouteControlMetrics
from cranberrylever.route_control._service import LeaderRouteControlService, RouteControlService
from cranberrylever.route_control._state import RouteControlState
from cranberrylever.settings import RouteControlSettings, split_address
from cranberrylever.task_errors import log_task_errors

RPC_CLOSE_TIMEOUT_S = 0.5
METRICS_FINISH_TIMEOUT_S = 0.1
STORAGE_RETRY_INTERVAL_S = 0.5
"""Seconds between attempts to open a data directory that cannot be used."""

HANDOVER_WAIT_S = 0.3
"""Seconds for which a closing leader waits for the election of its successor before it closes connections."""

AppFactory = Callable[[RouteControlService, LeaderForwarder], Starlette]


class RouteControlProgram:
    """One control member: replicated state, leader loop, streams of entries and the HTTP interface.

    Args:
        settings: Settings of the member.
        grant_client: Calls to targets.
        create_app: Returns the HTTP interface for operators and targets.
        headers_to_forward: Headers that are kept when a request is forwarded to the leader.
        running_since: Loop time at which this process started, ``None`` when it is unknown.
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
        self.forwarder = LeaderForwarder(self._http_address, headers_to_forward, settings.forward_timeout)
        self.is_closing = False
        self.failed = asyncio.Event()
        self.error: CranberryleverError | None = None
        self.watcher: asyncio.Task[None] | None = None
        self.metrics_server: HttpServer | None = None

    async def start(self) -> None:
        """Open the data directory, join the group and listen.

        Raises:
            StorageError: The data directory cannot be used.
            OSError: An address cannot be bound.
        """
        self.installed_log = install_log(self.settings.log)
        self.metrics = create_exposed_metrics()
        log_task_errors(self.log, self.metrics)
        self.given_up = GivenUpConnections(self.log, self.metrics)
        await self._start_member()
        if self.settings.metrics_listen:
            self.metrics_server = HttpServer(
                self.metrics.app(),
                self.settings.metrics_listen,
                METRICS_FINISH_TIMEOUT_S,
                create_limits(self.settings.listener),
                self.given_up,
            )
            await self.metrics_server.start()
        self.watcher = asyncio.get_running_loop().create_task(self._watch_driver())

    async def wait_failure(self) -> None:
        """Wait until this member stops because of an error.

        Raises:
            CranberryleverError: The error that stopped it.
        """
        await self.failed.wait()
        if self.error is not None:
            raise self.error

    async def close(self) -> None:
        """Transfer leadership, then close the listeners and the data directory."""
        self.is_closing = True
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
        founds_cluster = settings.bootstrap and is_founder and not _has_data(Path(settings.data_dir))
        storage = open_disk_storage(settings.data_dir, settings.cluster_id, founds_cluster)
        members = {member: member for member in settings.founders} if is_founder else {}
        contacts = tuple(dict.fromkeys((*settings.contacts, *settings.founders)))
        config = ConsensusConfig(
            settings.cluster_id,
            settings.rpc,
            members,
            contacts=contacts,
            silent_since=self._take_running_since(),
            failure_domain=settings.failure_domain,
            voters=voters_needed(
                settings.tolerated_instances, settings.tolerated_domains, len(settings.failure_domains)
            ),
        )
        self.state = RouteControlState()
        machine = StateMachineAdapter(self.state, command_codec.decode)
        self.transport = PeerTransport(settings.cluster_id, settings.rpc, {}, ids_are_addresses=True)
        self.driver = create_driver(config, storage, self.transport, machine)
        self.lease_manager = LeaseManager(
            self.grant_client, self._is_serving, self._wake, self.metrics, self.log
        )
        self.leader = RouteControlLeader(
            self.driver, self.state, self.lease_manager, settings.notice_interval, self.log
        )
        self.feed = FeedService(
            settings.cluster_id, self.driver, self.leader, self.state, self.metrics, self.log
        )
        self.metrics_reporter = RouteControlMetrics(
            self.metrics, self.driver, self.leader, self.state, self.feed
        )
        self.leader.after_step = self._after_step
        machine.callbacks.append(self.leader.on_applied)
        self.relay = AnnouncementRelay(self.state, self.driver, self.forwarder, self.log)
        service = LeaderRouteControlService(
            self.driver, self.leader, self.state, self.relay, self.metrics, self.log
        )
        self.http = HttpServer(
            self.create_app(service, self.forwarder),
            settings.http,
            settings.finish_timeout,
            attrs.evolve(create_limits(settings.listener), max_body_bytes=settings.max_body),
            self.given_up,
        )
        self.rpc = RpcServer([self.transport, self.feed], RPC_CLOSE_TIMEOUT_S, self.log)
        # The data directory is read first, so that nothing else is open when that fails.
        await self.driver.start()
        await self.rpc.start(settings.rpc_listen or settings.rpc)
        await self.transport.start()
        self.leader.start()
        self.relay.start()
        await self.http.start()
        self.log.info(
            "control_started",
            folder_id=self.driver.folder_id,
            founds=founds_cluster,
            applied=self.driver.applied_index,
            contacts=contacts,
        )

    def _take_running_since(self) -> float | None:
        """Return the start time of this process on the first call and ``None`` later.

        A member that is restarted within the process may have heard from a leader shortly before.
        """
        running_since, self.running_since = self.running_since, None
        return running_since

    async def _close_member(self) -> None:
        await self.relay.close()
        await self.leader.close()
        await self.lease_manager.close()
        await self.driver.close()
        cut_off = await self.http.close()
        cut_off.write_to(self.log)
        await self.rpc.close()
        await self.transport.close()

    async def _watch_driver(self) -> None:
        """Restart the member after a disk failure; any other error stops the program.

        When the group has replaced this member, it restarts as a learner with an empty data directory. That
        directory keeps an identity, so that it cannot found a second group, whatever the settings say.
        """
        while True:
            error = await self.driver.wait_stopped()
            if self.is_closing:
                return
            if not isinstance(error, StorageError):
                self.error = error
                self.failed.set()
                return
            await self._close_member()
            if self.driver.is_retired:
                self.log.warning("member_retired", error=str(error), folder_id=self.driver.folder_id)
            await self._restart_member(error, self.driver.is_retired)

    async def _restart_member(self, error: CranberryleverError, is_retired: bool) -> None:
        """Retry until the data directory can be used; a full or faulty disk may recover."""
        while True:
            self.log.warning("member_restarts", error=str(error), pause=STORAGE_RETRY_INTERVAL_S)
            await asyncio.sleep(STORAGE_RETRY_INTERVAL_S)
            try:
                if is_retired:
                    reset_disk_folder(self.settings.data_dir, self.settings.cluster_id)
                await self._start_member()
            except (StorageError, OSError) as restart_error:
                # What was opened before the failure, such as the lock on the data directory, is given back.
                await self._close_member()
                error = StorageError(str(restart_error), "free disk space or replace the disk")
            else:
                return

    def _after_step(self) -> None:
        self.feed.push()
        self.metrics_reporter.update_due(asyncio.get_running_loop().time())

    def _is_serving(self) -> bool:
        return self.leader.is_serving()

    def _wake(self) -> None:
        self.leader.wake.set()

    def _http_address(self, member_id: str) -> str | None:
        """Return the HTTP address of a member: the host of its id, an rpc address, and this member's port."""
        host, _ = split_address(member_id)
        _, port = split_address(self.settings.http)
        return f"{host}:{port}"


def _has_data(directory: Path) -> bool:
    """Return whether a data directory contains files."""
    return directory.is_dir() and any(directory.iterdir())


def create_route_control(
    settings: RouteControlSettings,
    grant_client: GrantClient,
    create_app: AppFactory,
    headers_to_forward: tuple[str, ...] = (),
    running_since: float | None = None,
) -> RouteControlProgram:
    """Return a control member that has not been started yet."""
    return RouteControlProgram(settings, grant_client, create_app, headers_to_forward, running_since)

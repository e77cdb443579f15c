"""The route entry program."""

import asyncio
import math

import attrs
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from cranberrylever.answer_memory import AnswerMemory
from cranberrylever.body_memory import BodyMemory
from cranberrylever.caller_http import CallerServer, finish_requests
from cranberrylever.customers import RevocationGuard
from cranberrylever.http_given_up import GivenUpConnections
from cranberrylever.http_limits import create_limits
from cranberrylever.http_server import HttpServer
from cranberrylever.http_unsent import CutOffAnswers
from cranberrylever.logs import Log, install_log
from cranberrylever.metrics import create_exposed_metrics
from cranberrylever.quota import QuotaClient
from cranberrylever.route_entry._app import PeerRequestApp, RouteEntryApp
from cranberrylever.route_entry._body import BodyReader
from cranberrylever.route_entry._dispatcher import Dispatcher
from cranberrylever.route_entry._feed import FeedClient
from cranberrylever.route_entry._format import HeaderFormat
from cranberrylever.route_entry._peer_relay import PeerRelay
from cranberrylever.route_entry._permit_gate import create_permit_gate
from cranberrylever.route_entry._reachability import TargetReachability, probe_until_reachable
from cranberrylever.route_entry._reports import ReportCollector
from cranberrylever.route_entry._target_bodies import TargetBodies
from cranberrylever.route_entry._target_shares import TargetShareGauge
from cranberrylever.route_entry._view import EntryView
from cranberrylever.settings import RouteEntrySettings
from cranberrylever.target_http import TargetPool
from cranberrylever.task_errors import log_task_errors
from cranberrylever.wire import FeedReply, FeedReport

CHECK_FINISH_TIMEOUT_S = 0.1
"""Time for answers to readiness checks and readers of metrics at the end of a stop."""

CLOSE_TIMEOUT_S = 0.15
"""Time to close the stream to control and the servers for readiness checks and metrics."""


@attrs.frozen
class RouteEntryTuning:
    """Limits of the listener for callers: counts, bytes and seconds.

    An idle connection is closed after ``keep_alive``, and one whose headers are incomplete after
    ``header_timeout`` from their first byte.
    """

    max_connections: int = 2_000
    max_header_bytes: int = 32_768
    keep_alive: float = 20.0
    header_timeout: float = 20.0


class RouteEntryProgram:
    """A route entry: listeners for callers and readiness checks, a client for targets, a stream to control.

    Args:
        settings: Settings of the entry.
        header_format: Format of the headers.
        tuning: Limits of the listener for callers; only tests change them.
    """

    def __init__(
        self, settings: RouteEntrySettings, header_format: HeaderFormat, tuning: RouteEntryTuning
    ) -> None:
        self.settings = settings
        self.tuning = tuning
        self.format = header_format
        self.log = Log("entry", settings.entry_id, settings.log.level)
        self.view = EntryView(settings.rules)
        self.reports = ReportCollector()
        self.link_probe: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Open the listeners and connect to control.

        Raises:
            SettingError: An address cannot be used.
        """
        settings = self.settings
        self.installed_log = install_log(settings.log)
        self.metrics = create_exposed_metrics()
        log_task_errors(self.log, self.metrics)
        self.reachability = TargetReachability(self._usable_target_count, self._on_links_lost, self.log)
        self.memory = AnswerMemory(settings.answer_memory)
        self.relay = PeerRelay(self.format, self.reachability, self.memory)
        self.pool = TargetPool(self.format.id_header, on_connect=self.reachability.record, memory=self.memory)
        self.feed = FeedClient(settings.contacts, self._build_report, self._on_reply, self.log)
        permit_gate = create_permit_gate(settings.rules, self.feed.request_report)
        self.quota = QuotaClient(self.feed.request_report, self.metrics)
        self.permits, self.rate_limits = permit_gate.permits, permit_gate.rate_limits
        revocation = RevocationGuard(settings.revocation_time)
        self.dispatcher = Dispatcher(
            self.view,
            self.pool,
            self.format,
            self.reports,
            permit_gate,
            settings.failure_domain,
            self.log,
            self.relay,
            self.feed.request_report,
            TargetShareGauge(self.metrics, self.view).record,
            TargetBodies(settings.target_body_memory or math.inf),
            revocation,
        )
        self.app = RouteEntryApp(
            self.view,
            self.dispatcher,
            self.format,
            self.reachability,
            self.metrics,
            self.log,
            self.feed.knows_leader,
            self.memory,
            BodyReader(BodyMemory(settings.body_memory), self.metrics),
            revocation,
            self.quota,
        )
        self.limits = create_limits(settings.listener)
        self.given_up = GivenUpConnections(self.log, self.metrics)
        self.servers = [self._create_server(self.app, settings.listen)]
        if settings.peer_listen:
            self.servers.append(self._create_server(PeerRequestApp(self.app), settings.peer_listen))
        self.ready = self._create_check_server(self._ready_app(), settings.ready_listen)
        self.metrics_server = (
            self._create_check_server(self.metrics.app(), settings.metrics_listen)
            if settings.metrics_listen
            else None
        )
        for server in self.servers:
            await server.start()
        await self.ready.start()
        if self.metrics_server is not None:
            await self.metrics_server.start()
        self.feed.start()
        self.log.info("entry_started", listen=settings.listen, contacts=settings.contacts)

    async def close(self) -> None:
        """Stop gracefully: fail readiness checks, wait for the load balancer, finish the requests, close."""
        settings = self.settings
        stops_in = settings.drain_delay + settings.finish_timeout
        started_at = asyncio.get_running_loop().time()
        stops_at = started_at + stops_in
        self.app.start_draining(started_at + settings.drain_delay, stops_at)
        self.log.info("entry_draining", requests=self.app.requests, stops_in=stops_in)
        await asyncio.sleep(settings.drain_delay)
        for server in self.servers:
            server.stop_accepting()
        outcome = await finish_requests(self.servers, self.app.running, stops_at)
        if outcome.ended:
            self.log.warning("requests_ended", requests=outcome.ended, ids=self.app.request_log.ended_ids)
        if outcome.cut_off:
            self.log.warning(
                "requests_cut_off", requests=outcome.cut_off, ids=self.app.request_log.cut_off_ids
            )
        sum((server.cut_off_answers for server in self.servers), CutOffAnswers()).write_to(self.log)
        if self.link_probe is not None:
            self.link_probe.cancel()
        self.pool.close()
        self.relay.close()
        await self._close_rest()
        stop_time = asyncio.get_running_loop().time() - self.app.stop.began_at
        self.log.info("entry_stopped", requests=self.app.requests, stopping_ms=round(stop_time * 1000))
        self.installed_log.close()

    async def _close_rest(self) -> None:
        """Close what no caller waits for, all at once, as the process may be killed soon."""
        servers = [self.ready] if self.metrics_server is None else [self.ready, self.metrics_server]
        try:
            async with asyncio.timeout(CLOSE_TIMEOUT_S):
                await asyncio.gather(self.feed.close(), *(server.close() for server in servers))
        except TimeoutError:
            for server in servers:
                server.abort()

    def reload(self, contacts: tuple[str, ...]) -> None:
        """Apply changed settings: the control members to ask when the known ones do not answer."""
        self.feed.contacts = contacts
        self.log.info("settings_reloaded", contacts=contacts)

    def _create_check_server(self, app: Starlette, listen: str) -> HttpServer:
        """Return a listener for readiness checks or metrics."""
        return HttpServer(app, listen, CHECK_FINISH_TIMEOUT_S, self.limits, self.given_up)

    def _create_server(self, app: object, listen: str) -> CallerServer:
        return CallerServer(
            app, listen, self.tuning, self._read_request_id, self.memory, self.limits, self.given_up
        )

    def _read_request_id(self, scope: dict) -> str:
        return self.format.read_call(scope["headers"]).request_id.decode("latin-1")

    def _usable_target_count(self) -> int:
        return sum(target.info.usable for target in self.view.targets.values())

    def _on_links_lost(self) -> None:
        """Stop using idle connections, tell control, and probe until the links are back."""
        self.pool.close()
        self.feed.request_report()
        self.link_probe = asyncio.get_running_loop().create_task(
            probe_until_reachable(self.reachability, self.pool, self._usable_addresses)
        )

    def _usable_addresses(self) -> list[str]:
        return [target.info.address for target in self.view.targets.values() if target.info.usable]

    def _ready_app(self) -> Starlette:
        return Starlette(routes=[Route("/readyz", self._readyz, methods=["GET"])])

    async def _readyz(self, request: Request) -> Response:
        if self.app.draining:
            return JSONResponse({"error": "this entry is stopping"}, 503)
        if not self.view.is_complete:
            return JSONResponse({"error": "this entry has not received its routes yet"}, 503)
        return JSONResponse({"status": "ready", "plan": self.view.plan_version})

    def _build_report(self, sequence: int, is_first: bool) -> FeedReport:
        now = asyncio.get_running_loop().time()
        return FeedReport(
            self.settings.cluster_id,
            self.settings.entry_id,
            sequence,
            self.view.plan_version,
            self.view.fleet_version,
            self.view.ranges_version,
            self.reports.take_work(),
            self.reports.take_service_times(),
            self.reports.take_crashes(),
            self.view.speeds() if is_first else (),
            self.permits.build_requests(sequence, now),
            self.reports.take_loads(),
            self.rate_limits.build_observations(sequence, is_first, now),
            "" if self.app.draining or self.reachability.is_lost else self.settings.peer_listen,
            self.relay.wants_peers(now),
            self.reports.departures.build_report(),
            reads_sections=True,
            reads_parts=True,
            quota=self.quota.build_report(sequence, is_first, now),
        )

    def _on_reply(self, reply: FeedReply, confirmed_at: float) -> None:
        now = asyncio.get_running_loop().time()
        if reply.permits:
            self.permits.record(reply.permits, reply.sequence, now)
            self.view.changed.notify()
        if reply.quota:
            self.quota.record(reply.quota, reply.sequence, now)
        if reply.peers is not None:
            self.relay.set_peers(reply.peers, now)
        addresses_before = {target.info.address for target in self.view.targets.values()}
        is_changed = self.view.apply(reply, now, confirmed_at)
        if is_changed:
            infos = [target.info for target in self.view.targets.values()]
            self.rate_limits.set_published(infos, now)
            self.reports.departures.confirm(infos)
        self.rate_limits.confirm(reply.sequence)
        if not is_changed:
            return
        self.permits.keep_only({target.info.incarnation for target in self.view.targets.values()})
        if self.view.matcher is not None:
            self.quota.set_customers(self.view.matcher.plan.customers)
        self.feed.set_entry_count(self.view.entries)
        self.pool.max_idle_connections = self.view.idle_connections()
        addresses_after = {target.info.address for target in self.view.targets.values()}
        for address in addresses_before - addresses_after:
            self.pool.close_idle(address)
        self.log.info(
            "view_applied",
            plan=self.view.plan_version,
            fleet=self.view.fleet_version,
            ranges=self.view.ranges_version,
            targets=len(self.view.targets),
        )


def create_route_entry(
    settings: RouteEntrySettings, header_format: HeaderFormat, tuning: RouteEntryTuning | None = None
) -> RouteEntryProgram:
    """Return an entry that is not started yet."""
    return RouteEntryProgram(settings, header_format, tuning or RouteEntryTuning())

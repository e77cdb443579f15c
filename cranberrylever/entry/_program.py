"""The entry program."""

import asyncio
import contextlib
import uuid

from cranberrylever.caller_http import CallerServer
from cranberrylever.entry._admission import Admission
from cranberrylever.entry._app import EntryApp
from cranberrylever.entry._claimed import ClaimedRunner
from cranberrylever.entry._claims import ClaimClient
from cranberrylever.entry._client import TargetClient
from cranberrylever.entry._crashes import CrashWatch
from cranberrylever.entry._dispatcher import Dispatcher
from cranberrylever.entry._exchange import Attempt
from cranberrylever.entry._inflight import InFlight
from cranberrylever.entry._link import ControlLink
from cranberrylever.entry._reader import RequestReader
from cranberrylever.entry._reports import RequestCounts
from cranberrylever.entry._stats import AnswerStats
from cranberrylever.entry._targets import TargetStates
from cranberrylever.entry._tuning import EntryTuning
from cranberrylever.entry._views import ViewStore
from cranberrylever.errors import NotRunError
from cranberrylever.logs import Log, install_log
from cranberrylever.metrics import create_metrics
from cranberrylever.settings import EntrySettings
from cranberrylever.wire import EntryHello, EntryReport, ViewAnswer


class EntryProgram:
    """One entry: a listener for callers, a client for targets and streams to control.

    Args:
        settings: Settings of this entry.
        tuning: Constants, changed only by tests.
    """

    def __init__(self, settings: EntrySettings, tuning: EntryTuning) -> None:
        self.settings = settings
        self.tuning = tuning
        self.incarnation = uuid.uuid4().hex
        self.log = Log("entry", settings.entry_id, settings.log.level)
        self.metrics = create_metrics(settings.statsd, f"entry.{settings.entry_id}")
        self.views = ViewStore(tuning.view_lifetime)
        self.in_flight = InFlight()
        self.counts = RequestCounts()
        self.stats = AnswerStats()
        self.lease_timer: asyncio.TimerHandle | None = None
        self.targets = TargetStates(tuning.cold_mark_lifetime)
        self.crashes = CrashWatch(self.in_flight, self.report_now, 2 * tuning.poll_interval, self.log)
        self.admission = Admission(
            settings.entry_id, self.views, self.targets, self.in_flight, self.counts, self.log
        )

    async def start(self) -> None:
        """Listen for callers and attach to control; readiness follows with the first view."""
        self.loop = asyncio.get_running_loop()
        self.installed_log = install_log(self.settings.log)
        self.client = TargetClient(self.tuning, self._check_before_send)
        self.dispatcher = Dispatcher(
            self.views,
            self.admission,
            self.targets,
            self.crashes,
            self.client,
            self.tuning,
            self.metrics,
            self.report_soon,
        )
        self.claims = ClaimClient(self.settings.entry_id, self.tuning, self._send_frame)
        claimed = ClaimedRunner(self.claims, self.dispatcher, self.tuning)
        reader = RequestReader(self.views, self.tuning)
        self.app = EntryApp(self.views, reader, self.dispatcher, claimed, self.tuning, self.stats, self.log)
        self.server = CallerServer(self.app, self.settings.listen, self.tuning)
        await self.server.start()
        self.link = self._create_link()
        self.link.start()
        self.log.info("entry_started", address=self.bound_address)

    @property
    def bound_address(self) -> str:
        """Address on which callers are served, as ``host:port``."""
        return self.server.bound_address

    async def close(self) -> None:
        """Fail readiness, wait for the drain delay, finish requests and claims, then close."""
        self.app.draining = True
        self.log.info("entry_draining", delay=self.settings.drain_delay)
        await asyncio.sleep(self.settings.drain_delay)
        self.server.stop_accepting()
        await self.server.wait_finished(self.tuning.finish_timeout)
        await self.claims.close(self.tuning.claim_close_timeout)
        await self.link.close()
        if self.lease_timer is not None:
            self.lease_timer.cancel()
        await self.client.close()
        self.metrics.close()
        self.log.info("entry_stopped")
        self.installed_log.close()

    async def __aenter__(self) -> "EntryProgram":
        """Start the program."""
        await self.start()
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Close the program."""
        with contextlib.suppress(asyncio.CancelledError):
            await self.close()

    def report_soon(self) -> None:
        """Let the next report leave without waiting for the poll interval."""
        self.link.poll_now.set()

    def report_now(self) -> None:
        """Send a report in this step."""
        self.link.send_poll(self.loop.time())

    def _create_link(self) -> ControlLink:
        settings = self.settings
        address = settings.advertise or self.bound_address
        hello = EntryHello(settings.entry_id, self.incarnation, address, settings.failure_domain)
        link = ControlLink(settings.cluster_id, settings.control, hello, self.tuning, self.log)
        link.build_report = self._build_report
        link.on_view_answer = self._receive_view
        link.on_claim_result = self.claims.receive
        link.on_leader_change = self.claims.resend
        link.is_urgent = lambda: bool(self.views.waiters)
        return link

    def _send_frame(self, **fields: object) -> bool:
        return self.link.send(**fields)

    def _check_before_send(self, attempt: Attempt) -> None:
        """Raise unless the attempt may still be sent; time has passed since it was chosen."""
        now = self.loop.time()
        self.views.current(now)
        if attempt.blocked_at is not None or attempt.aborted:
            raise NotRunError("the key is moving to another target", "retry later")
        if not self.crashes.may_send(attempt.exchange):
            raise NotRunError("a request like this one may have crashed a target", "retry later")
        if attempt.state is not None and self.targets.exceeds_permits(attempt.state, now):
            raise NotRunError("the permit for the target in cold start has gone", "retry later")

    def _build_report(self, sequence: int) -> EntryReport:
        now = self.loop.time()
        version = self.views.version
        requests = self.counts.take_requests()
        self._send_metrics(version, requests)
        return EntryReport(
            sequence=sequence,
            entry_id=self.settings.entry_id,
            incarnation=self.incarnation,
            applied_version=version,
            settled_version=self.in_flight.settled_version(version),
            shard_counts=self.counts.take_shards(),
            target_loads=self.targets.take_loads(self.admission.waiting_for_permits(now), now),
            hot_keys=self.counts.take_hot_keys(now),
            suspects=self.crashes.records(now),
            permits=self.targets.used_permits(now),
            requests=requests,
        )

    def _watch_lease(self) -> None:
        """Act once on each expiry of the view's lease."""
        if self.views.is_valid(self.loop.time()):
            self.lease_timer = self.loop.call_at(self.views.valid_until, self._watch_lease)
            return
        self.lease_timer = None
        aborted = self.in_flight.abort_unsent()
        self.log.warning("view_expired", version=self.views.version, aborted=aborted)
        self.metrics.count("view_expired")

    def _send_metrics(self, version: int, requests: int) -> None:
        self.metrics.count("requests", requests)
        self.stats.send(self.metrics)
        self.metrics.gauge("view_version", version)
        self.metrics.gauge("in_flight", len(self.in_flight.attempts))
        self.metrics.gauge("waiting", self.admission.waiting())

    def _receive_view(self, answer: ViewAnswer, poll_sent: float) -> None:
        now = self.loop.time()
        previous = self.views.version
        if answer.version < previous:
            return
        changed = self.views.offer(answer, poll_sent)
        if self.lease_timer is None:
            self._watch_lease()
        if changed:
            table = self.views.table
            self.targets.apply_view(table)
            self.in_flight.apply_view(previous, table)
            self.in_flight.abort_lost(table)
            incarnations = {target.target_id: target.incarnation for target in table.view.targets}
            self.crashes.apply_incarnations(incarnations, now)
            self.log.info("view_applied", version=answer.version)
        permits_changed = answer.version == self.views.version and self.targets.permits != answer.permits
        if permits_changed:
            self.targets.permits = dict(answer.permits)
        self.crashes.merge(answer.suspects, now)
        if changed:
            self.report_soon()
            self.views.wake()
        if changed or permits_changed or self.targets.marks.take_expired(now):
            self.admission.wake_all()


def create_entry(settings: EntrySettings, tuning: EntryTuning | None = None) -> EntryProgram:
    """Return an entry that is not started yet.

    Args:
        settings: Settings of this entry.
        tuning: Constants, changed only by tests.

    Raises:
        SettingError: A setting is invalid.
    """
    return EntryProgram(settings, tuning or EntryTuning())

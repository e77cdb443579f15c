"""Entry program: wiring, start, shutdown and the processing of view answers."""

import asyncio
import contextlib
import uuid

from cranberrylever.caller_http import CallerServer, finish_requests
from cranberrylever.entry._admission import Admission
from cranberrylever.entry._app import EntryApp
from cranberrylever.entry._claimed import ClaimedRunner
from cranberrylever.entry._claims import ClaimClient
from cranberrylever.entry._client import TargetClient
from cranberrylever.entry._crashes import CrashDetector
from cranberrylever.entry._dispatcher import Dispatcher
from cranberrylever.entry._exchange import Attempt
from cranberrylever.entry._headers import REQUEST_ID, find_header
from cranberrylever.entry._inflight import InFlightAttempts
from cranberrylever.entry._link import ControlLink
from cranberrylever.entry._reader import RequestReader
from cranberrylever.entry._reports import RequestCounts
from cranberrylever.entry._stats import ResponseStats
from cranberrylever.entry._targets import TargetStates
from cranberrylever.entry._tuning import EntryTuning
from cranberrylever.entry._views import ViewStore
from cranberrylever.errors import NotRunError
from cranberrylever.http_unsent import method_and_path
from cranberrylever.logs import Log, install_log
from cranberrylever.metrics import create_metrics
from cranberrylever.settings import EntrySettings
from cranberrylever.wire import EntryHello, EntryReport, ViewAnswer


class EntryProgram:
    """An entry with a listener for callers, a client for targets and streams to control.

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
        self.in_flight = InFlightAttempts()
        self.counts = RequestCounts()
        self.stats = ResponseStats()
        self.lease_timer: asyncio.TimerHandle | None = None
        self.targets = TargetStates(tuning.cold_mark_lifetime)
        self.crashes = CrashDetector(self.in_flight, self.send_report, 2 * tuning.poll_interval, self.log)
        self.admission = Admission(
            settings.entry_id, self.views, self.targets, self.in_flight, self.counts, self.log
        )

    async def start(self) -> None:
        """Listen for callers and connect to control; the entry is ready after the first view."""
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
            self.schedule_report,
        )
        self.claims = ClaimClient(self.settings.entry_id, self.tuning, self._send_frame)
        claimed = ClaimedRunner(self.claims, self.dispatcher, self.tuning)
        reader = RequestReader(self.views, self.tuning)
        self.app = EntryApp(self.views, reader, self.dispatcher, claimed, self.tuning, self.stats, self.log)
        self.server = CallerServer(self.app, self.settings.listen, self.tuning, _name_request)
        await self.server.start()
        self.link = self._create_link()
        self.link.start()
        self.log.info("entry_started", address=self.bound_address)

    @property
    def bound_address(self) -> str:
        """Address of the listener for callers, as ``host:port``."""
        return self.server.bound_address

    async def close(self) -> None:
        """Fail the readiness check, wait ``drain_delay``, finish requests and claims, then close."""
        self.app.draining = True
        self.log.info("entry_draining", delay=self.settings.drain_delay)
        await asyncio.sleep(self.settings.drain_delay)
        self.server.stop_accepting()
        await finish_requests([self.server], self.app.running, self.loop.time() + self.tuning.finish_timeout)
        self.server.cut_off_answers.write_to(self.log)
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

    def schedule_report(self) -> None:
        """Have the link send the next report without waiting for the poll interval."""
        self.link.poll_requested.set()

    def send_report(self) -> None:
        """Send a report immediately."""
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
        """Raise ``NotRunError`` unless the attempt is still valid, after the wait for its connection."""
        now = self.loop.time()
        self.views.current(now)
        if attempt.last_owned_version is not None or attempt.aborted:
            raise NotRunError("the key is moving to another target", "retry later")
        if not self.crashes.may_send(attempt.exchange):
            raise NotRunError("an identical request may have crashed a target", "retry later")
        if attempt.state is not None and self.targets.exceeds_permits(attempt.state, now):
            raise NotRunError("the permit for the cold target was withdrawn", "retry later")

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
            suspects=self.crashes.suspect_records(now),
            permits=self.targets.used_permits(now),
            requests=requests,
        )

    def _check_lease(self) -> None:
        """Abort unsent requests when the lease of the view expires; runs once per expiry."""
        if self.views.is_valid(self.loop.time()):
            self.lease_timer = self.loop.call_at(self.views.valid_until, self._check_lease)
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
        self.metrics.gauge("waiting", self.admission.waiting_requests())

    def _receive_view(self, answer: ViewAnswer, poll_sent_at: float) -> None:
        now = self.loop.time()
        previous = self.views.version
        if answer.version < previous:
            return
        changed = self.views.offer(answer, poll_sent_at)
        if self.lease_timer is None:
            self._check_lease()
        if changed:
            table = self.views.table
            self.targets.apply_view(table)
            self.in_flight.apply_view(previous, table)
            self.in_flight.abort_for_lost_targets(table)
            incarnations = {target.target_id: target.incarnation for target in table.view.targets}
            self.crashes.apply_incarnations(incarnations, now)
            self.log.info("view_applied", version=answer.version)
        permits_changed = answer.version == self.views.version and self.targets.permits != answer.permits
        if permits_changed:
            self.targets.permits = dict(answer.permits)
        self.crashes.merge(answer.suspects, now)
        if changed:
            self.schedule_report()
            self.views.wake()
        if changed or permits_changed or self.targets.cold_marks.drop_expired(now):
            self.admission.wake_all()


def _name_request(scope: dict) -> str:
    """Return the id that the caller gave a request, otherwise its method and path."""
    request_id = find_header(scope["headers"], REQUEST_ID.lower().encode())
    return method_and_path(scope) if request_id is None else request_id.decode("latin-1")


def create_entry(settings: EntrySettings, tuning: EntryTuning | None = None) -> EntryProgram:
    """Create an entry without starting it.

    Args:
        settings: Settings of this entry.
        tuning: Constants, changed only by tests.

    Raises:
        SettingError: A setting is invalid.
    """
    return EntryProgram(settings, tuning or EntryTuning())

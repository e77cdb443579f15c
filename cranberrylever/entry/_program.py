"""The entry program."""

import asyncio
import contextlib
import uuid

from cranberrylever.errors import NotRunError
from cranberrylever.logs import Log
from cranberrylever.metrics import create_metrics
from cranberrylever.settings import EntrySettings
from cranberrylever.wire import EntryHello, EntryReport, ViewAnswer

from ._app import EntryApp
from ._client import TargetClient
from ._dispatcher import Dispatcher
from ._exchange import Attempt
from ._inflight import InFlight
from ._link import ControlLink
from ._server import HttpServer
from ._tuning import EntryTuning
from ._views import ViewStore


class EntryProgram:
    """One entry: a listener for callers, a client for targets and streams to control."""

    def __init__(self, settings: EntrySettings, tuning: EntryTuning) -> None:
        self.settings = settings
        self.tuning = tuning
        self.incarnation = uuid.uuid4().hex
        self.log = Log("entry", settings.entry_id, settings.log.level)
        self.metrics = create_metrics(settings.statsd, "entry")
        self.views = ViewStore(tuning.view_lifetime)
        self.in_flight = InFlight()

    async def start(self) -> None:
        """Listen for callers and attach to control; readiness follows with the first view."""
        self.loop = asyncio.get_running_loop()
        self.client = TargetClient(self.tuning, self._check_before_send)
        self.dispatcher = Dispatcher(self.views, self.in_flight, self.client, self.tuning, self.log)
        self.app = EntryApp(self.views, self.dispatcher, self.tuning)
        self.server = HttpServer(self.app, self.settings.listen, self.tuning)
        await self.server.start()
        address = self.settings.advertise or self.bound_address
        settings = self.settings
        hello = EntryHello(settings.entry_id, self.incarnation, address, settings.failure_domain)
        self.link = ControlLink(settings.cluster_id, settings.control, hello, self.tuning, self.log)
        self.link.build_report = self._build_report
        self.link.on_view_answer = self._receive_view
        self.link.is_urgent = lambda: bool(self.views.waiters)
        self.link.start()
        self.log.info("entry_started", address=self.bound_address)

    @property
    def bound_address(self) -> str:
        """Address on which callers are served, as ``host:port``."""
        return self.server.bound_address

    async def close(self) -> None:
        """Fail readiness, wait for the drain delay, finish requests, then close."""
        self.app.draining = True
        self.log.info("entry_draining", delay=self.settings.drain_delay)
        await asyncio.sleep(self.settings.drain_delay)
        self.server.stop_accepting()
        await self.server.wait_finished(self.tuning.finish_timeout)
        await self.link.close()
        await self.client.close()
        self.metrics.close()
        self.log.info("entry_stopped")

    async def __aenter__(self) -> "EntryProgram":
        """Start the program."""
        await self.start()
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Close the program."""
        with contextlib.suppress(asyncio.CancelledError):
            await self.close()

    def _check_before_send(self, attempt: Attempt) -> None:
        self.views.current(self.loop.time())
        if attempt.blocked_at is not None:
            raise NotRunError("the key is moving to another target", "retry later")

    def _build_report(self, sequence: int) -> EntryReport:
        version = self.views.version
        return EntryReport(
            sequence=sequence,
            entry_id=self.settings.entry_id,
            incarnation=self.incarnation,
            applied_version=version,
            settled_version=self.in_flight.settled_version(version),
        )

    def _receive_view(self, answer: ViewAnswer, poll_sent: float) -> None:
        previous = self.views.version
        if self.views.offer(answer, poll_sent):
            self.in_flight.apply_view(previous, self.views.table)
            self.log.info("view_applied", version=answer.version)
            self.link.poll_now.set()
            self.views.wake()


def create_entry(settings: EntrySettings, tuning: EntryTuning | None = None) -> EntryProgram:
    """Return an entry that is not started yet.

    Args:
        settings: Settings of this entry.
        tuning: Constants, changed only by tests.

    Raises:
        SettingError: A setting is invalid.
    """
    return EntryProgram(settings, tuning or EntryTuning())

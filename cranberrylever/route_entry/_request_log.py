"""Log lines and metrics of the requests of a route entry."""

import asyncio
import math

import attrs

from cranberrylever.customers import CustomerCounters
from cranberrylever.logs import Log
from cranberrylever.metrics import Metrics
from cranberrylever.route_entry._estimates import DispatchEstimate
from cranberrylever.route_entry._format import HeaderFormat, Headers
from cranberrylever.route_entry._request import RoutedRequest
from cranberrylever.route_entry._view import EntryView

MAX_LOGGED_IDS = 100
"""Limit on the ids of requests that the log names together when an entry ends them at its stop."""


@attrs.define
class StopTimes:
    """Loop times of the stop of an entry, infinite before it begins.

    ``accepts_until`` is when the listener closes. ``stops_at`` is the limit for requests; those that still
    run are ended shortly before it, so that their answers are sent.
    """

    began_at: float = math.inf
    accepts_until: float = math.inf
    stops_at: float = math.inf


class RequestRecord:
    """Data for the log line of a request."""

    def __init__(self, scope: dict, started_at: float) -> None:
        self.headers: Headers = scope["headers"]
        self.started_at = started_at
        self.request: RoutedRequest | None = None
        self.route = ""
        self.outcome = "failed"
        self.status = 0
        self.reason = ""
        self.target = ""
        self.customer = ""

    @property
    def label(self) -> str:
        """Outcome in the form that names of metrics have."""
        return self.outcome.replace(" ", "_")

    def request_id(self, header_format: HeaderFormat) -> str:
        """Return the request id that the caller set."""
        request = self.request
        request_id = request.request_id if request else header_format.read_call(self.headers).request_id
        return request_id.decode("latin-1")


class RequestLog:
    """Writes a line for each request, and remembers those that a stop has ended or cut off.

    Args:
        log: Program log.
        metrics: Metrics of the process.
        view: The view in force, whose versions the lines name.
        header_format: Reads headers.
        stop: Times of the stop.

    Attributes:
        ended_ids: Ids of requests that the entry answered itself at the end of its stop, not all if many.
        cut_off_ids: Ids of those that got no answer.
    """

    def __init__(
        self, log: Log, metrics: Metrics, view: EntryView, header_format: HeaderFormat, stop: StopTimes
    ) -> None:
        self.log = log
        self.metrics = metrics
        self.customer_counters = CustomerCounters(metrics)
        self.view = view
        self.format = header_format
        self.stop = stop
        self.ended_ids: list[str] = []
        self.cut_off_ids: list[str] = []

    def record_ended(self, record: RequestRecord) -> None:
        """Remember a request that the end of the stop has ended with an answer."""
        self._add_id(self.ended_ids, record)

    def record_cut_off(self, record: RequestRecord, reason: str) -> None:
        """Remember a request that was cancelled without an answer."""
        record.outcome = "cut off"
        record.reason = reason
        self._add_id(self.cut_off_ids, record)

    def _add_id(self, request_ids: list[str], record: RequestRecord) -> None:
        if len(request_ids) < MAX_LOGGED_IDS:
            request_ids.append(record.request_id(self.format))

    def write(self, record: RequestRecord) -> None:
        """Write the line of a request that has ended, and count it."""
        now = asyncio.get_running_loop().time()
        elapsed_ms = (now - record.started_at) * 1000
        self.metrics.count(f"requests_{record.label}")
        self.customer_counters.record(record.customer, record.label)
        self.metrics.timing("request_ms", elapsed_ms)
        request = record.request
        if request is not None and request.is_relayed:
            self.metrics.count("requests_relayed")
        self.log.info(
            "request",
            request_id=record.request_id(self.format),
            route=record.route,
            customer=record.customer,
            service=request.service.name if request else "",
            key=request.key if request else None,
            tried=request.tried_targets if request else [],
            target=record.target,
            status=record.status,
            outcome=record.outcome,
            reason=record.reason or (request.reason if request else ""),
            rate_limit=request.rate_limit if request else None,
            relayed=request.is_relayed if request else False,
            ms=round(elapsed_ms, 1),
            plan=self.view.plan_version,
            fleet=self.view.fleet_version,
            ranges=self.view.ranges_version,
            view_age_ms=round((now - self.view.confirmed_at) * 1000),
            **self._stop_fields(now),
            **estimate_fields(request.estimate if request else None),
        )

    def _stop_fields(self, now: float) -> dict[str, int]:
        """Return the log field of the time since the stop began, in ms; nothing before."""
        began_at = self.stop.began_at
        return {"stopping_ms": round((now - began_at) * 1000)} if math.isfinite(began_at) else {}


def estimate_fields(estimate: DispatchEstimate | None) -> dict[str, int | None]:
    """Return the log fields of the estimates that decided on a target, in ms; ``None`` if unknown."""
    if estimate is None:
        return {}
    load_age = estimate.load_age
    return {
        "expected_ms": round(estimate.service_time * 1000),
        "queue_ms": round(estimate.queue_time * 1000),
        "completion_ms": round(estimate.completion_time * 1000),
        "load_age_ms": round(load_age * 1000) if math.isfinite(load_age) else None,
    }

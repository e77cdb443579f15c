"""Metrics behind an abstract class: sent by statsd, read over HTTP, or a twin that does nothing."""

import abc

import prometheus_client
import statsd
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from cranberrylever.errors import SettingError

_PREFIX = "cranberrylever"


class Metrics(abc.ABC):
    """Counters, gauges and timings of one process."""

    @abc.abstractmethod
    def count(self, name: str, value: int = 1) -> None:
        """Add ``value`` to the counter ``name``."""

    @abc.abstractmethod
    def gauge(self, name: str, value: float) -> None:
        """Set the gauge ``name``."""

    @abc.abstractmethod
    def timing(self, name: str, milliseconds: float) -> None:
        """Record a duration."""

    @abc.abstractmethod
    def close(self) -> None:
        """Release the socket."""


class NullMetrics(Metrics):
    """Metrics that are not sent anywhere."""

    def count(self, name: str, value: int = 1) -> None:
        """Ignore the value."""

    def gauge(self, name: str, value: float) -> None:
        """Ignore the value."""

    def timing(self, name: str, milliseconds: float) -> None:
        """Ignore the value."""

    def close(self) -> None:
        """Do nothing."""


class StatsdMetrics(Metrics):
    """Metrics sent to a statsd server over UDP; a lost datagram is not noticed."""

    def __init__(self, host: str, port: int, program: str) -> None:
        self.client = statsd.StatsClient(host, port, prefix=f"{_PREFIX}.{program}")

    def count(self, name: str, value: int = 1) -> None:
        """Add ``value`` to the counter ``name``."""
        self.client.incr(name, value)

    def gauge(self, name: str, value: float) -> None:
        """Set the gauge ``name``."""
        self.client.gauge(name, value)

    def timing(self, name: str, milliseconds: float) -> None:
        """Record a duration."""
        self.client.timing(name, milliseconds)

    def close(self) -> None:
        """Release the socket."""
        self.client.close()


class ExposedMetrics(Metrics):
    """Metrics that are read over HTTP in the text format of Prometheus; timings are histograms."""

    BUCKETS_MS = (5, 10, 25, 50, 100, 200, 300, 400, 600, 800, 1_000, 1_500, 3_000)

    def __init__(self) -> None:
        self.registry = prometheus_client.CollectorRegistry()
        self.items: dict[str, object] = {}

    def count(self, name: str, value: int = 1) -> None:
        """Add ``value`` to the counter ``name``."""
        self._get(name, prometheus_client.Counter).inc(value)

    def gauge(self, name: str, value: float) -> None:
        """Set the gauge ``name``."""
        self._get(name, prometheus_client.Gauge).set(value)

    def timing(self, name: str, milliseconds: float) -> None:
        """Record a duration."""
        self._get(name, prometheus_client.Histogram, buckets=self.BUCKETS_MS).observe(milliseconds)

    def close(self) -> None:
        """Do nothing."""

    def app(self) -> Starlette:
        """Return the application that shows the metrics."""
        return Starlette(routes=[Route("/metrics", self._show, methods=["GET"])])

    async def _show(self, request: Request) -> Response:
        text = prometheus_client.generate_latest(self.registry)
        return Response(text, media_type="text/plain; version=0.0.4")

    def _get(self, name: str, kind: type, **options: object):  # noqa: ANN202 - one of three classes
        item = self.items.get(name)
        if item is None:
            item = kind(f"{_PREFIX}_{name}", name.replace("_", " "), registry=self.registry, **options)
            self.items[name] = item
        return item


def create_exposed_metrics() -> ExposedMetrics:
    """Return metrics that are read over HTTP."""
    return ExposedMetrics()


def create_metrics(address: str, program: str) -> Metrics:
    """Return metrics sent to ``address`` (``host:port``), or ones that do nothing when it is empty.

    Raises:
        SettingError: ``address`` is not ``host:port``.
    """
    if not address:
        return NullMetrics()
    host, separator, port = address.rpartition(":")
    if not separator or not port.isdigit():
        raise SettingError(
            f"--statsd is {address!r}, not host:port", "give an address such as 127.0.0.1:8125"
        )
    return StatsdMetrics(host, int(port), program)

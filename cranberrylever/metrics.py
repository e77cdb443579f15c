"""Metrics interface with a statsd, a Prometheus and a no-op implementation."""

import abc
import re
from collections.abc import Mapping

import prometheus_client
import statsd
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from cranberrylever.errors import SettingError

_NAME_PREFIX = "cranberrylever"
_UNSAFE_IN_NAME = re.compile(r"[^A-Za-z0-9_-]")


class Metrics(abc.ABC):
    """Counters, gauges and timings of one process."""

    @abc.abstractmethod
    def count(self, name: str, value: int = 1) -> None:
        """Add ``value`` to the counter ``name``."""

    @abc.abstractmethod
    def count_labelled(self, name: str, labels: Mapping[str, str]) -> None:
        """Add 1 to the counter ``name`` with these labels; the caller bounds the number of their values."""

    @abc.abstractmethod
    def gauge(self, name: str, value: float) -> None:
        """Set the gauge ``name``."""

    @abc.abstractmethod
    def timing(self, name: str, milliseconds: float) -> None:
        """Record a duration in milliseconds."""

    @abc.abstractmethod
    def close(self) -> None:
        """Release all resources."""


class NullMetrics(Metrics):
    """Metrics that discard all values."""

    def count(self, name: str, value: int = 1) -> None:
        """Discard the value."""

    def count_labelled(self, name: str, labels: Mapping[str, str]) -> None:
        """Discard the value."""

    def gauge(self, name: str, value: float) -> None:
        """Discard the value."""

    def timing(self, name: str, milliseconds: float) -> None:
        """Discard the value."""

    def close(self) -> None:
        """Do nothing."""


class StatsdMetrics(Metrics):
    """Metrics sent to a statsd server over UDP; lost datagrams are not detected."""

    def __init__(self, host: str, port: int, program: str) -> None:
        self.client = statsd.StatsClient(host, port, prefix=f"{_NAME_PREFIX}.{program}")

    def count(self, name: str, value: int = 1) -> None:
        """Add ``value`` to the counter ``name``."""
        self.client.incr(name, value)

    def count_labelled(self, name: str, labels: Mapping[str, str]) -> None:
        """Add 1 to a counter whose name ends with the values of the labels."""
        values = (_UNSAFE_IN_NAME.sub("_", value) for value in labels.values())
        self.client.incr(".".join((name, *values)))

    def gauge(self, name: str, value: float) -> None:
        """Set the gauge ``name``."""
        self.client.gauge(name, value)

    def timing(self, name: str, milliseconds: float) -> None:
        """Record a duration in milliseconds."""
        self.client.timing(name, milliseconds)

    def close(self) -> None:
        """Release the socket."""
        self.client.close()


class PrometheusMetrics(Metrics):
    """Metrics exposed over HTTP in the Prometheus text format; timings are histograms."""

    BUCKETS_MS = (5, 10, 25, 50, 100, 200, 300, 400, 600, 800, 1_000, 1_500, 3_000)

    def __init__(self) -> None:
        self.registry = prometheus_client.CollectorRegistry()
        self.collectors: dict[str, object] = {}

    def count(self, name: str, value: int = 1) -> None:
        """Add ``value`` to the counter ``name``."""
        self._collector(name, prometheus_client.Counter).inc(value)

    def count_labelled(self, name: str, labels: Mapping[str, str]) -> None:
        """Add 1 to the counter ``name`` with these labels."""
        self._collector(name, prometheus_client.Counter, labelnames=tuple(labels)).labels(**labels).inc()

    def gauge(self, name: str, value: float) -> None:
        """Set the gauge ``name``."""
        self._collector(name, prometheus_client.Gauge).set(value)

    def timing(self, name: str, milliseconds: float) -> None:
        """Record a duration in milliseconds."""
        self._collector(name, prometheus_client.Histogram, buckets=self.BUCKETS_MS).observe(milliseconds)

    def close(self) -> None:
        """Do nothing."""

    def app(self) -> Starlette:
        """Return the ASGI application that serves the metrics."""
        return Starlette(routes=[Route("/metrics", self._serve, methods=["GET"])])

    async def _serve(self, request: Request) -> Response:
        text = prometheus_client.generate_latest(self.registry)
        return Response(text, media_type="text/plain; version=0.0.4")

    def _collector(self, name: str, collector_class: type, **options: object):  # noqa: ANN202 - one of three classes
        collector = self.collectors.get(name)
        if collector is None:
            collector = collector_class(
                f"{_NAME_PREFIX}_{name}", name.replace("_", " "), registry=self.registry, **options
            )
            self.collectors[name] = collector
        return collector


def create_exposed_metrics() -> PrometheusMetrics:
    """Return metrics that are exposed over HTTP."""
    return PrometheusMetrics()


def create_metrics(address: str, program: str) -> Metrics:
    """Return metrics sent to ``address`` (``host:port``), or no-op metrics when it is empty.

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

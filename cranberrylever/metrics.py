"""Metrics over statsd behind an abstract class, with a twin that does nothing."""

import abc

import statsd

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

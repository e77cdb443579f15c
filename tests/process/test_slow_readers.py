"""Memory of an entry process whose callers read slowly; ``bench/slow_readers.py`` takes longer."""

import asyncio

import testtools

from bench.slow_readers import Load, measure

SECONDS = 6.0
MAX_RESIDENT_BYTES = 180_000_000


class SlowReadersTest(testtools.TestCase):
    def test_many_slow_readers_of_large_answers_are_bounded_in_memory(self):
        """Guards against an entry whose memory fills with answers that callers have not read."""
        figures = asyncio.run(measure(Load(200, 50_000.0, 1_000_000, SECONDS)))
        assert figures.peak < MAX_RESIDENT_BYTES, figures
        assert figures.statuses[200] >= 60, figures
        assert set(figures.statuses) <= {200, 503}, figures
        assert figures.last_status == 200, figures

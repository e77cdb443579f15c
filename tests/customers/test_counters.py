"""Tests of the counters of requests by customer."""

import prometheus_client
import testtools

from cranberrylever.customers._counters import MAX_COUNTED_CUSTOMERS, OTHER_CUSTOMERS, CustomerCounters
from cranberrylever.metrics import PrometheusMetrics


class CustomerCountersTest(testtools.TestCase):
    def test_many_customers_share_counters(self):
        """Guards against an entry whose metrics grow with 100,000 customers."""
        metrics = PrometheusMetrics()
        counters = CustomerCounters(metrics)
        for number in (*range(1_000), 0, 999):
            counters.record(f"c{number}", "done")
        counters.record("", "done")
        text = prometheus_client.generate_latest(metrics.registry).decode()
        name = "cranberrylever_customer_requests_total{"
        lines = [line for line in text.splitlines() if line.startswith(name)]
        assert len(lines) == MAX_COUNTED_CUSTOMERS + 1
        assert f'{name}customer="c0",outcome="done"}} 2.0' in lines
        others = 1_000 - MAX_COUNTED_CUSTOMERS + 1
        assert f'{name}customer="{OTHER_CUSTOMERS}",outcome="done"}} {float(others)}' in lines

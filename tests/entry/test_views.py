"""Tests of the view lease, the streams to control and the settled version."""

import asyncio
import io
import math

import testtools
from attrs import evolve

from cranberrylever.entry._views import ViewStore
from cranberrylever.errors import NotRunError
from cranberrylever.routing import EntryAddress, View
from cranberrylever.wire import EntryReply, ViewAnswer
from tests.entry.fakes import (
    TEST_TUNING,
    EntryCluster,
    FakeControl,
    answer,
    keyed_view,
    run,
    run_entry,
    wait_until,
)

OUTCOME_HEADER = "Cranberrylever-Outcome"


class ViewStoreTest(testtools.TestCase):
    def test_lease_counts_from_the_poll(self):
        """Guards against a lease that a delayed answer extends beyond what control assumes."""
        store = ViewStore(1.2)
        self.assertTrue(store.offer(ViewAnswer(1, 3, View(3, 0)), poll_sent_at=10.0))
        self.assertTrue(store.is_valid(11.19))
        self.assertFalse(store.is_valid(11.2))
        self.assertRaises(NotRunError, store.current, 11.2)

    def test_older_view_is_ignored(self):
        """Guards against replacing a view by an older one, and a lease extended by an outdated leader."""
        store = ViewStore(1.2)
        store.offer(ViewAnswer(1, 3, View(3, 0)), poll_sent_at=0.0)
        self.assertFalse(store.offer(ViewAnswer(2, 2, View(2, 0)), poll_sent_at=5.0))
        self.assertEqual(3, store.version)
        self.assertFalse(store.is_valid(5.0))

    def test_reordered_answers_keep_the_later_lease(self):
        """Guards against a lease shortened by a late answer to an earlier poll."""
        store = ViewStore(1.2)
        store.offer(ViewAnswer(2, 3, View(3, 0)), poll_sent_at=5.0)
        store.offer(ViewAnswer(1, 3), poll_sent_at=4.0)
        self.assertTrue(store.is_valid(6.1))

    def test_new_entry_list_within_a_version_is_taken(self):
        """Guards against a permit holder that is unknown until the version of the view changes."""
        store = ViewStore(1.2)
        store.offer(ViewAnswer(1, 3, View(3, 0)), poll_sent_at=0.0)
        entries = (EntryAddress("e2", "127.0.0.1:2"),)
        store.offer(ViewAnswer(2, 3, View(3, 0, entries=entries)), poll_sent_at=0.2)
        self.assertEqual(entries, store.table.view.entries)

    def test_no_view_is_never_valid(self):
        """Guards against routing requests before the first view."""
        store = ViewStore(1.2)
        self.assertFalse(store.is_valid(-math.inf))
        self.assertFalse(store.offer(ViewAnswer(1, 3), poll_sent_at=0.0))
        self.assertRaises(NotRunError, store.current, 0.5)


class LinkTest(testtools.TestCase):
    def test_expired_view_answers_not_run_and_fails_readiness(self):
        """Guards against an entry that keeps routing by an expired view after a partition from control."""

        async def scenario(cluster, entry):
            status, _, _ = await cluster.call("/readyz")
            self.assertEqual(200, status)
            cluster.control.answers_polls = False
            await wait_until(lambda: not entry.views.is_valid(asyncio.get_running_loop().time()))
            status, headers, _ = await cluster.call("/ledger/k")
            self.assertEqual((503, "not-run"), (status, headers[OUTCOME_HEADER]))
            status, _, _ = await cluster.call("/readyz")
            self.assertEqual(503, status)
            cluster.control.answers_polls = True
            await wait_until(lambda: entry.views.is_valid(asyncio.get_running_loop().time()))
            status, _, _ = await cluster.call("/ledger/k")
            self.assertEqual(200, status)

        run_entry(scenario, tuning=evolve(TEST_TUNING, view_lifetime=0.3))

    def test_entry_follows_a_new_leader(self):
        """Guards against an entry whose lease expires when the control leader changes."""

        async def main():
            async with EntryCluster() as cluster:
                view = keyed_view(1, cluster.targets)
                other = FakeControl(view)
                other.is_leader = False
                other_address = await other.start()
                cluster.control.view = view
                entry = await cluster.start_entry(control=(cluster.control_address, other_address))
                for old, new in ((cluster.control, other), (other, cluster.control)):
                    old.is_leader = False
                    new.is_leader = True
                    new.view = evolve(view, version=new.view.version + 2)
                    await wait_until(lambda new=new: entry.views.version == new.view.version)
                    self.assertTrue(entry.views.is_valid(asyncio.get_running_loop().time()))
                await other.close()

        run(main)

    def test_silent_leader_is_replaced_and_streams_reopen(self):
        """Guards against an entry that waits for a frozen leader or does not reconnect a stream."""

        async def main():
            async with EntryCluster() as cluster:
                view = keyed_view(1, cluster.targets)
                other = FakeControl(evolve(view, version=2))
                other.is_leader = False
                other_address = await other.start()
                cluster.control.view = view
                entry = await cluster.start_entry(control=(cluster.control_address, other_address))
                cluster.control.answers_polls = False
                other.is_leader = True
                await wait_until(lambda: entry.views.version == 2)
                await other.close()
                cluster.control.view = evolve(view, version=3)
                cluster.control.answers_polls = True
                await wait_until(lambda: entry.views.version == 3)

        run(main)

    def test_silent_stream_is_reopened(self):
        """Guards against a connection that stays unusable for minutes after a partition."""

        async def scenario(cluster, entry):
            self.assertEqual(1, cluster.control.streams)
            cluster.control.answers_polls = False
            await wait_until(lambda: cluster.control.streams > 1)

        run_entry(scenario, tuning=evolve(TEST_TUNING, stream_timeout=0.2))

    def test_unsent_part_of_a_request_is_not_sent_after_the_lease(self):
        """Guards against a request whose last part reaches its old owner after the shard may have moved."""

        async def main():
            async with EntryCluster() as cluster:
                view = keyed_view(1, cluster.targets)
                service = evolve(view.services[0], max_body_bytes=50_000_000)
                cluster.control.view = evolve(view, services=(service,))
                entry = await cluster.start_entry(evolve(TEST_TUNING, view_lifetime=1.0))
                reading = asyncio.Event()
                cluster.targets[0].before_body = reading.wait
                call = asyncio.create_task(
                    cluster.call("/ledger/k", "POST", data=io.BytesIO(b"x" * 12_000_000))
                )
                await wait_until(lambda: any(a.has_unsent_bytes() for a in entry.in_flight.attempts))
                cluster.control.answers_polls = False
                status, headers, _ = await call
                self.assertEqual((502, "unknown"), (status, headers[OUTCOME_HEADER]))
                reading.set()
                await asyncio.sleep(0.2)
                self.assertEqual([], cluster.targets[0].requests)

        run(main)

    def test_reply_of_another_cluster_is_ignored(self):
        """Guards against applying a view of another cluster because of a wrong address in the settings."""

        async def scenario(cluster, entry):
            foreign = EntryReply("other", view_answer=ViewAnswer(entry.link.sequence, 9, View(9, 0)))
            entry.link.receive(entry.link.members[0], foreign)
            self.assertEqual(1, entry.views.version)

        run_entry(scenario)


class SettledVersionTest(testtools.TestCase):
    async def start_call(self, cluster):
        """Start a call that the first target holds; return its task and the event that ends it."""
        release = asyncio.Event()

        async def slow(request, writer):
            await release.wait()
            return answer(b"ok")

        cluster.targets[0].handler = slow
        call = asyncio.create_task(cluster.call("/ledger/k", "POST"))
        await wait_until(lambda: len(cluster.targets[0].requests) == 1)
        return call, release

    def test_settled_version_waits_for_requests_to_released_shards(self):
        """Guards against moving a shard while a request to its old owner is in flight."""

        async def scenario(cluster, entry):
            call, release = await self.start_call(cluster)
            for version in (7, 9):
                await cluster.apply(keyed_view(version, cluster.targets, owner=-1, fence=version))
            await wait_until(lambda: cluster.control.reports[-1].applied_version == 9)
            self.assertEqual(3, cluster.control.reports[-1].settled_version)
            release.set()
            self.assertEqual(200, (await call)[0])
            await wait_until(lambda: cluster.control.reports[-1].settled_version == 9)
            self.assertEqual(set(), entry.in_flight.blocking_attempts)

        run_entry(scenario, targets=2, version=3)

    def test_new_pin_holds_the_settled_version_back(self):
        """Guards against moving a pinned key while a request under its old shard is in flight."""

        async def scenario(cluster, entry):
            view = cluster.control.view
            call, release = await self.start_call(cluster)
            (attempt,) = entry.in_flight.attempts
            service = view.services[0]
            pinned = evolve(
                service,
                owners=(*service.owners, 0),
                fences=(*service.fences, 2),
                pins={attempt.exchange.key_hash: 2},
            )
            await cluster.apply(evolve(view, version=4, services=(pinned,)))
            await wait_until(lambda: cluster.control.reports[-1].applied_version == 4)
            self.assertEqual(3, cluster.control.reports[-1].settled_version)
            release.set()
            await call
            await wait_until(lambda: cluster.control.reports[-1].settled_version == 4)
            await cluster.call("/ledger/k")
            self.assertEqual("2", cluster.targets[0].requests[-1].headers["cranberrylever-shard"])

        run_entry(scenario, version=3)

    def test_requests_to_lost_targets_are_closed(self):
        """Guards against a frozen target that holds back the settled version until a deadline."""

        async def scenario(cluster, entry):
            cluster.targets[0].handler = lambda request, writer: asyncio.sleep(5)
            call = asyncio.create_task(cluster.call("/ledger/k", "POST"))
            await wait_until(lambda: len(cluster.targets[0].requests) == 1)
            view = keyed_view(4, cluster.targets, owner=1, fence=2)
            lost = evolve(view.targets[0], phase="lost", routable=False)
            await cluster.apply(evolve(view, targets=(lost, view.targets[1])))
            status, headers, _ = await call
            self.assertEqual((502, "unknown"), (status, headers[OUTCOME_HEADER]))
            await wait_until(lambda: cluster.control.reports[-1].settled_version == 4)

        run_entry(scenario, targets=2, version=3)

"""Tests of key extraction, idempotent methods and routing lookups."""

import testtools
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from cranberrylever.routing import (
    KeySource,
    RoutingTable,
    ServiceView,
    TargetView,
    View,
    extract_key,
    hash_key,
    is_idempotent,
    split_service,
)

_TARGETS = tuple(TargetView(f"t{n}", "ledger", f"h:{n}", "d", "i", "warm", 3, 100, 1) for n in range(3))


def naive_route(service: ServiceView, key_hash: int) -> tuple[int, int, str | None]:
    """Look up a key by scanning all pins."""
    shard = key_hash % service.shards
    for pinned, pin_shard in service.pins.items():
        if pinned == key_hash:
            shard = pin_shard
    owner = service.owners[shard]
    return shard, service.fences[shard], None if owner < 0 else service.owner_ids[owner]


class KeyTest(testtools.TestCase):
    def test_key_is_the_decoded_segment(self):
        """Guards against two encodings of one key that are routed to different owners."""
        source = KeySource()
        self.assertEqual("build 1", extract_key(source, "/ledger/build%201/steps", []))
        self.assertEqual("a/b", extract_key(source, "/ledger/a%2Fb/c", []))
        self.assertEqual(hash_key("build 1"), hash_key(extract_key(source, "/ledger/build 1", [])))

    def test_missing_key(self):
        """Guards against routing all requests without a key to one shard."""
        for path in ("/ledger", "/ledger/", "/", "/ledger//x"):
            self.assertIsNone(extract_key(KeySource(), path, []))
        self.assertIsNone(extract_key(KeySource(header="X-Key"), "/ledger/a", [(b"x-other", b"1")]))

    def test_key_from_header(self):
        """Guards against case-sensitive comparison of header names."""
        self.assertEqual("w1", extract_key(KeySource(header="X-Workshop"), "/r/a", [(b"x-workshop", b"w1")]))

    def test_split_service(self):
        """Guards against a path below the service without its leading slash."""
        self.assertEqual(("ledger", "/a/b"), split_service("/ledger/a/b"))
        self.assertEqual(("ledger", "/"), split_service("/ledger"))

    def test_any_path_yields_a_key_or_none(self):
        """Guards against an exception for an unusual path."""

        @seed(1)
        @settings(max_examples=200, deadline=None, database=None)
        @given(st.text(max_size=40), st.integers(1, 4))
        def extract(text, segment):
            key = extract_key(KeySource(segment), "/" + text, [])
            self.assertTrue(key is None or 0 <= hash_key(key) < 2**64)

        extract()


class IdempotencyTest(testtools.TestCase):
    def test_methods_decide_by_default(self):
        """Guards against retrying a POST or a request with an unknown method."""
        service = ServiceView("s", "pooled")
        for method in ("GET", "HEAD", "PUT", "DELETE", "OPTIONS"):
            self.assertTrue(is_idempotent(service, method, "/x"))
        for method in ("POST", "PATCH", "TRACE", "UNKNOWN"):
            self.assertFalse(is_idempotent(service, method, "/x"))

    def test_longest_rule_decides(self):
        """Guards against a general rule that overrides a more specific one."""
        service = ServiceView(
            "s", "pooled", idempotent=("POST /search",), non_idempotent=("POST /search/save", "GET /next")
        )
        self.assertTrue(is_idempotent(service, "POST", "/search/all"))
        self.assertFalse(is_idempotent(service, "POST", "/search/save"))
        self.assertFalse(is_idempotent(service, "GET", "/next"))
        self.assertTrue(is_idempotent(service, "GET", "/other"))

    def test_tie_is_not_idempotent(self):
        """Guards against retries when the rules of a ticket are contradictory."""
        service = ServiceView("s", "pooled", idempotent=("POST /a",), non_idempotent=("POST /a",))
        self.assertFalse(is_idempotent(service, "POST", "/a"))


class RoutingTableTest(testtools.TestCase):
    def test_shard_owner_equals_naive_lookup(self):
        """Guards against lookups that route a key to a target other than its owner."""
        owners = st.lists(st.integers(-1, 2), min_size=8, max_size=12)

        @seed(1)
        @settings(max_examples=300, deadline=None, database=None)
        @given(owners, st.dictionaries(st.integers(0, 40), st.integers(0, 11)), st.integers(0, 40))
        def compare(owners, pins, key_hash):
            pins = (
                {key: 8 + shard % (len(owners) - 8) for key, shard in pins.items()} if len(owners) > 8 else {}
            )
            service = ServiceView(
                "ledger",
                "keyed",
                shards=8,
                owner_ids=("t0", "t1", "t2"),
                owners=tuple(owners),
                fences=tuple(range(100, 100 + len(owners))),
                pins=pins,
            )
            table = RoutingTable(View(1, 1, (service,), _TARGETS))
            route = table.shard_owner(service, key_hash)
            owner = route.target.target_id if route.target else None
            self.assertEqual(naive_route(service, key_hash), (route.shard, route.fence, owner))

        compare()

    def test_owner_without_target_is_held(self):
        """Guards against routing to an owner that is missing from the view."""
        service = ServiceView("ledger", "keyed", shards=1, owner_ids=("gone",), owners=(0,), fences=(5,))
        table = RoutingTable(View(1, 1, (service,), _TARGETS))
        self.assertIsNone(table.shard_owner(service, 7).target)

    def test_pool_skips_targets_that_must_not_get_new_work(self):
        """Guards against new work for leaving, lost, drained or withdrawn targets."""
        views = [
            TargetView(phase, "desk", "h:1", "d", "i", phase, 3, 100, 1)
            for phase in ("cold", "warm", "leaving", "lost")
        ]
        views.append(TargetView("drained", "desk", "h:1", "d", "i", "warm", 3, 100, 1, routable=False))
        views.append(TargetView("other", "seal", "h:1", "d", "i", "warm", 3, 100, 1))
        table = RoutingTable(View(1, 1, (ServiceView("desk", "pooled"),), tuple(views)))
        self.assertEqual(["cold", "warm"], [target.target_id for target in table.pools["desk"]])

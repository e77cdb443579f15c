"""Customers over loopback: keys, names for targets, requests passed on, revocation, and the log."""

import asyncio

import testtools

from cranberrylever.customers import CustomerQuota, QuotaExceededError
from cranberrylever.logs import Log
from tests.platform.fakes import configuration
from tests.platform.running_system import RunningSystem

IN_FORCE_S = 2.0


class RecordingLog(Log):
    """A log that keeps its lines."""

    def __init__(self):
        super().__init__("entry", "e", "info")
        self.lines = []

    def write(self, level, message_type, **fields):
        self.lines.append((message_type, fields))


class CountingQuota(CustomerQuota):
    """A quota of ``free`` requests for all customers."""

    def __init__(self, free):
        self.free = free

    async def acquire(self, customer, deadline):
        if self.free == 0:
            raise QuotaExceededError(0.4)
        self.free -= 1
        return float(self.free)

    def give_back(self, customer, taken_at):
        assert taken_at == self.free
        self.free += 1


def plan(version, holders):
    """Return a configuration in which ``holders`` maps customers to keys; /desk/ is a private route."""
    document = configuration(version, "ledger", "desk")
    document["routes"].append({**document["routes"][1], "name": "c", "path_prefix": "/open/", "public": True})
    document["tenants"] = [{"name": name, "api_keys": list(keys)} for name, keys in holders.items()]
    return document


class CustomersTest(testtools.TestCase):
    def run_system(self, scenario, entry_count=1):
        async def main():
            async with RunningSystem(entry_count) as system:
                await system.prepare()
                self.record_headers(system)
                assert await system.put(plan(4, {"x": ["key-x"], "y": ["key-y"]}), 3) == 200
                await system.until(self.is_status, system, 200, "key-x")
                self.seen.clear()
                await scenario(system)

        asyncio.run(main())

    def record_headers(self, system):
        """Keep the headers of all requests that targets get in ``seen``."""
        self.seen = []
        for target in system.targets:
            answer = target._answer

            async def record(method, path, headers, body, answer=answer):
                if path.startswith(("/desk/", "/open/")):
                    self.seen.append(headers)
                return await answer(method, path, headers, body)

            target._answer = record

    @staticmethod
    async def call(system, key=None, path="/desk/x", address=None, **headers):
        if key is not None:
            headers["Authorization"] = f"Bearer {key}"
        system.requests += 1
        names = {"Host": "h.example", "Cranberrylever_Request_Id": f"c{system.requests}", **headers}
        return await system.caller.call(
            address or system.entry, "POST", path, Cranberrylever_Deadline_Ms="1500", **names
        )

    async def is_status(self, system, status, key):
        return (await self.call(system, key)).status == status

    def check_seen(self, *customers):
        """Check which customers the targets were told, and that they got no key."""
        assert [headers.get("cranberrylever-tenant") for headers in self.seen] == list(customers), self.seen
        assert not any("authorization" in headers for headers in self.seen), self.seen
        self.seen.clear()

    def test_only_customers_are_served_and_targets_learn_who_asks(self):
        """Guards against a request for nobody, a name that a caller made up, and keys at targets."""

        async def scenario(system):
            log = system.route_entries[0].app.request_log.log = RecordingLog()
            spoofed = {"Cranberrylever_Tenant": "y"}
            assert (await self.call(system, "key-x", **spoofed)).status == 200
            self.check_seen("x")
            for key in (None, "unknown", "", "a b"):
                answer = await self.call(system, key, **spoofed)
                assert answer.status == 401, key
                assert answer.header(b"www-authenticate") == b"Bearer"
            self.check_seen()
            assert (await self.call(system, "unknown", "/nowhere/x")).status == 404
            for key in (None, "key-x", "unknown"):
                assert (await self.call(system, key, "/open/x", **spoofed)).status == 200
            self.check_seen(None, None, None)
            lines = [fields for name, fields in log.lines if name == "request"]
            assert [fields["customer"] for fields in lines[:2]] == ["x", ""]
            assert "key-x" not in repr(log.lines)
            assert "unknown" not in repr([line["reason"] for line in lines])

        self.run_system(scenario)

    def test_name_in_a_header_with_underscores_reaches_no_target(self):
        """Guards against a target that takes underscores in names of headers for hyphens."""

        async def scenario(system):
            for number, name in enumerate((b"cranberrylever_tenant", b"CranberryLever_TENANT")):
                lines = [
                    b"POST /desk/x HTTP/1.1",
                    b"host: h.example",
                    b"cranberrylever-request-id: u%d" % number,
                    b"authorization: Bearer key-x",
                    name + b": y",
                    b"other_name: z",
                    b"content-length: 0",
                ]
                request = b"\r\n".join(lines) + b"\r\n\r\n"
                answer = await system.caller.pool.exchange(system.entry, b"POST", request)
                assert answer.status == 200
                (headers,) = self.seen
                assert headers["other_name"] == "z"
                names = [name for name in headers if name.replace("_", "-") == "cranberrylever-tenant"]
                assert names == ["cranberrylever-tenant"], names
                self.check_seen("x")

        self.run_system(scenario)

    def test_plan_without_customers_passes_keys_on(self):
        """Guards against a lost header that is for the targets, and against a name that a caller made up."""

        async def scenario(system):
            document = plan(5, {})
            assert await system.put(document, 4) == 200
            await system.until(self.is_status, system, 200, "unknown")
            self.seen.clear()
            assert (await self.call(system, "unknown", Cranberrylever_Tenant="y")).status == 200
            (headers,) = self.seen
            assert headers["authorization"] == "Bearer unknown"
            assert "cranberrylever-tenant" not in headers

        self.run_system(scenario)

    def test_caller_cannot_choose_its_customer_at_the_address_for_passed_on_requests(self):
        """Guards against an entry that believes whoever reaches that address."""

        async def scenario(system):
            address = system.route_entries[0].settings.peer_listen
            spoofed = {"Cranberrylever_Tenant": "y"}
            assert (await self.call(system, None, address=address, **spoofed)).status == 401
            self.check_seen()
            assert (await self.call(system, "key-x", address=address, **spoofed)).status == 200
            self.check_seen("x")

        self.run_system(scenario)

    def test_request_that_another_entry_passes_on_keeps_its_customer(self):
        """Guards against a customer who is refused where an entry reaches no target."""

        async def scenario(system):
            first = system.route_entries[0]
            first.reachability.lost_at = asyncio.get_running_loop().time()

            async def has_peers():
                return bool(first.relay.addresses)

            first.feed.request_report()
            await system.until(has_peers)
            first.app.quota = CountingQuota(1)
            assert (await self.call(system, "key-x", Cranberrylever_Tenant="y")).status == 200
            self.check_seen("x")
            assert first.app.quota.free == 1

        self.run_system(scenario, entry_count=2)

    def test_key_that_moves_is_never_used_for_another_customer(self):
        """Guards against a request that runs for its old customer after the new one has been seen."""

        async def scenario(system):
            assert await system.put(plan(5, {"x": [], "y": ["key-y", "key-x"]}), 4) == 200
            loop = asyncio.get_running_loop()
            end = loop.time() + IN_FORCE_S
            while loop.time() < end:
                assert (await self.call(system, "key-x")).status in (200, 503)
                await asyncio.sleep(0.02)
            names = [headers["cranberrylever-tenant"] for headers in self.seen]
            assert names[-1] == "y"
            assert names == sorted(names), names

        self.run_system(scenario)

    def test_removed_key_is_refused_also_while_its_request_waits(self):
        """Guards against a request that was read before its key was taken away and is sent after."""

        async def scenario(system):
            dispatcher = system.route_entries[0].dispatcher
            select = dispatcher.selector.select
            is_revoked = asyncio.Event()

            async def select_late(request, state):
                await is_revoked.wait()
                return await select(request, state)

            dispatcher.selector.select = select_late
            waiting = asyncio.ensure_future(self.call(system, "key-x"))
            await asyncio.sleep(0.1)
            assert await system.put(plan(5, {"x": [], "y": ["key-y"]}), 4) == 200

            async def has_plan():
                return (
                    system.route_entries[0].view.customers.find("") is None
                    and len(system.route_entries[0].view.customers.by_digest) == 1
                )

            await system.until(has_plan)
            is_revoked.set()
            assert (await waiting).status == 401
            assert (await self.call(system, "key-x")).status == 401
            self.check_seen()
            assert (await self.call(system, "key-y")).status == 200

        self.run_system(scenario)

    def test_key_removed_while_a_connection_opens_is_refused(self):
        """Guards against a request that is sent by the view from before its connection was opened."""

        async def scenario(system):
            entry = system.route_entries[0]
            self.remove_key_while_connecting(system, entry.app.dispatcher.pool)
            assert (await self.call(system, "key-x")).status == 401
            self.check_seen()
            assert (await self.call(system, "key-y")).status == 200
            self.check_seen("y")

        self.run_system(scenario)

    def test_key_removed_while_a_connection_to_another_entry_opens_is_refused(self):
        """Guards against the same where an entry reaches no target; the other entry sees nothing."""

        async def scenario(system):
            first, second = system.route_entries
            first.reachability.lost_at = asyncio.get_running_loop().time()

            async def has_peers():
                return bool(first.relay.addresses)

            first.feed.request_report()
            await system.until(has_peers)
            log = second.app.request_log.log = RecordingLog()
            self.remove_key_while_connecting(system, first.relay.pool)
            assert (await self.call(system, "key-x")).status == 401
            assert not [fields for name, fields in log.lines if name == "request"]
            self.check_seen()

        self.run_system(scenario, entry_count=2)

    @staticmethod
    def remove_key_while_connecting(system, pool):
        """Make the next connection of a pool take until all entries know a plan without the key of x."""
        connect = pool._connect

        async def entries_know():
            return all(len(entry.view.customers.by_digest) == 1 for entry in system.route_entries)

        async def connect_late(address):
            pool._connect = connect
            assert await system.put(plan(5, {"x": [], "y": ["key-y"]}), 4) == 200
            await system.until(entries_know)
            return await connect(address)

        pool.close()
        pool._connect = connect_late

    def test_entry_without_control_refuses_keys_and_serves_public_routes(self):
        """Guards against a removed key that an entry out of touch accepts, and against a false 401 there."""

        async def scenario(system):
            entry = system.route_entries[0]
            entry.app.reader.revocation.max_age = 0.5
            await entry.feed.close()
            await asyncio.sleep(0.6)
            for key in ("key-x", "unknown"):
                answer = await self.call(system, key)
                assert answer.status == 503, key
                assert answer.header(b"retry-after")
            assert (await self.call(system, None)).status == 401
            self.check_seen()
            assert (await self.call(system, None, "/open/x")).status == 200

        self.run_system(scenario)

    def test_quota_is_asked_and_gets_back_what_has_not_run(self):
        """Guards against a customer whose quota is used up by requests that were refused."""

        async def scenario(system):
            quota = system.route_entries[0].app.quota = CountingQuota(1)
            for target in system.targets:
                target.retry_after = "0.1"
            assert (await self.call(system, "key-x")).status == 503
            assert quota.free == 1
            for target in system.targets:
                target.retry_after = ""
            await asyncio.sleep(0.3)
            assert (await self.call(system, "key-x")).status == 200
            answer = await self.call(system, "key-x")
            assert answer.status == 429
            assert answer.header(b"retry-after") == b"0.400"

        self.run_system(scenario)

"""Permits of rate-limited upstreams, issued and requested by several routers."""

import asyncio
import math
import random

import msgspec
from testtools.matchers import GreaterThan, LessThan

from shallotpoint.blackboard import Blackboard
from shallotpoint.controllers.limits import LIMITS_TOPIC, MAX_LIMITS, LimitController
from shallotpoint.controllers.permit_issuer import LEASE_TTL_S, RENEW_INTERVAL_S
from shallotpoint.controllers.sections import HostsSection, LimitsSection
from shallotpoint.coordination.gossip import Board
from shallotpoint.coordination.kv import Entry
from shallotpoint.coordination.memory_kv import MemoryKeyValue
from shallotpoint.coordination.permits import PERMIT_LIFETIME_S
from shallotpoint.coordination.transport import TransportError
from shallotpoint.platform_api.hosts import Host
from shallotpoint.policy.limits import PermitsNeeded, UpstreamLimits
from shallotpoint.testing.cases import FakeClock, TestCase

PREFIX = "limits/"
STARTED_MS = 7


class Router:
    def __init__(self, fleet, name, process_name="1"):
        self.fleet, self.name = fleet, name
        self.board, self.upstream_limits = Blackboard(), UpstreamLimits()
        self.gossip = Board(name, 1)
        self.write_hosts = self.board.claim(HostsSection, "test")
        self.limits = LimitController(
            self.board,
            self.gossip,
            self.upstream_limits,
            fleet.kv,
            prefix=PREFIX,
            name=name,
            process_name=f"{name}/{process_name}",
            clock=fleet.clock,
            boot_clock=fleet.clock,
            send_request=self.send,
        )
        self.list_upstream(STARTED_MS)

    def list_upstream(self, started_ms):
        upstream = Host("u1", "upstream", "10.0.0.1:1", "here", started_ms=started_ms)
        routers = [Host(name, "router", name, "here") for name in self.fleet.names]
        self.write_hosts(HostsSection((upstream, *routers)))

    async def send(self, router, request, timeout_s):
        if self.name in self.fleet.unreachable or router in self.fleet.unreachable:
            raise TransportError("unreachable")
        return await self.fleet.routers[router].limits.handle_request(request)

    def receive_limit(self, per_s=1.2, permit=None):
        self.limits.record_limit("u1", STARTED_MS, per_s, permit)

    def read_lease_entries(self):
        entries = self.fleet.kv.store.list_prefix("").entries
        self.limits.update_lease_entries({entry.key: entry for entry in entries})

    async def request_permits(self, count=1):
        """Request permits; return the number of new ones."""
        before = self.permit_count()
        await self.limits._obtain_permits(PermitsNeeded("u1", {1: count}))
        return self.permit_count() - before

    def permit_count(self):
        limited = self.upstream_limits._limited.get("u1")
        return len(limited.permits) if limited else 0

    @property
    def is_issuer(self):
        return self.limits._issuer.is_issuing(self.fleet.clock())


class Fleet:
    def __init__(self, count=3):
        self.clock = FakeClock(100.0)
        self.kv = MemoryKeyValue(clock=self.clock, rng=random.Random(1))
        self.names = [f"r{number}" for number in range(count)]
        self.unreachable = set()
        self.routers = {}
        for name in self.names:
            self.routers[name] = Router(self, name)

    def __iter__(self):
        return iter(self.routers.values())

    async def run_tasks(self):
        for _ in range(20):
            await asyncio.sleep(0)

    async def receive_limit_everywhere(self):
        for router in self:
            router.receive_limit()
        await self.run_tasks()
        for router in self:
            router.read_lease_entries()

    def issuer(self):
        (issuer,) = [router for router in self if router.is_issuer]
        return issuer

    def non_issuers(self):
        return [router for router in self if not router.is_issuer]

    def pass_time(self, seconds):
        self.clock.advance(seconds)
        self.kv.store.expire(self.clock())
        for router in self:
            router.limits.expire()
            router.read_lease_entries()


class LimitControllerTests(TestCase):
    def run_scenario(self, scenario, count=3):
        async def main():
            fleet = Fleet(count)
            try:
                return await scenario(fleet)
            finally:
                for router in fleet:
                    await router.limits.close()

        return self.run_async(main())

    def test_one_router_issues_permits_within_the_limit_for_all(self):
        async def scenario(fleet):
            await fleet.receive_limit_everywhere()
            fleet.pass_time(10 / 1.2 / 2)
            await fleet.receive_limit_everywhere()
            granted = [await router.request_permits(count=5) for router in fleet]
            return fleet.issuer().name, sum(granted)

        issuer, granted = self.run_scenario(scenario, count=9)
        self.assertIn(issuer, Fleet(9).names)
        # The burst limit, however many routers request permits.
        self.assertEqual(2, granted)

    def test_limit_holds_while_its_issuer_is_suspended(self):
        async def scenario(fleet):
            await fleet.receive_limit_everywhere()
            old = fleet.issuer()
            fleet.pass_time(2.0)
            granted = await old.request_permits(count=5)
            fleet.pass_time(LEASE_TTL_S)
            self.assertEqual(0, old.permit_count())  # its own permits have expired
            for _ in range(40):
                for router in fleet:
                    granted += await router.request_permits(count=3)
                await fleet.run_tasks()
                fleet.pass_time(0.1)
            return granted, [router.name for router in fleet.non_issuers()], old.name

        granted, others, old = self.run_scenario(scenario)
        self.assertThat(granted, LessThan(1.5 * 1.2 * 4 + 5))
        self.assertThat(granted, GreaterThan(3))
        self.assertIn(old, others)

    def test_another_router_issues_permits_at_once_after_a_planned_stop(self):
        async def scenario(fleet):
            await fleet.receive_limit_everywhere()
            old = fleet.issuer()
            await old.limits.release_leases()
            fleet.pass_time(0.1)
            for router in fleet.non_issuers():
                await router.request_permits()
            await fleet.run_tasks()
            fleet.pass_time(2.0)
            asked = [await router.request_permits() for router in fleet]
            return old.name, fleet.issuer().name, sum(asked)

        old, new, granted = self.run_scenario(scenario)
        self.assertNotEqual(old, new)
        self.assertEqual(2, granted)

    def test_without_a_reachable_issuer_nothing_is_sent(self):
        async def scenario(fleet):
            await fleet.receive_limit_everywhere()
            isolated = fleet.non_issuers()[0]
            fleet.unreachable.add(isolated.name)
            fleet.pass_time(3.0)
            return await isolated.request_permits(), isolated.upstream_limits.may_send(
                "u1"
            )

        self.assertEqual((0, False), self.run_scenario(scenario))

    def test_issuer_without_the_key_value_service_stops_when_its_lease_expires(self):
        async def scenario(fleet):
            await fleet.receive_limit_everywhere()
            issuer = fleet.issuer()
            fleet.kv.faults.down = True
            fleet.clock.advance(2.0)
            early = await issuer.request_permits()
            fleet.clock.advance(LEASE_TTL_S)
            issuer.limits.expire()
            return early, await issuer.request_permits()

        self.assertEqual((1, 0), self.run_scenario(scenario))

    def test_restarted_router_learns_the_limit_from_lease_entries(self):
        async def scenario(fleet):
            await fleet.receive_limit_everywhere()
            restarted = Router(fleet, fleet.non_issuers()[0].name, process_name="2")
            restarted.read_lease_entries()
            return restarted.upstream_limits.may_send("u1")

        self.assertFalse(self.run_scenario(scenario))

    def test_odd_key_of_a_lease_does_not_keep_the_others_from_being_read(self):
        # Guards against a key that ends the task which follows the shared entries.
        async def scenario(fleet):
            (router,) = fleet
            odd = ("u1/\u00b2", f"u1/{'9' * 5_000}", "u1/", "u1")
            names = [PREFIX + name for name in (*odd, f"u2/{STARTED_MS}")]
            router.limits.update_lease_entries(
                {name: Entry(name, b"one/1", 1) for name in names}
            )
            return list(router.board.get(LimitsSection).limits)

        self.assertEqual(["u2"], self.run_scenario(scenario, count=1))

    def test_peer_learns_the_limit_from_a_gossip_row(self):
        async def scenario(fleet):
            one, two, _ = fleet
            one.receive_limit()
            row = one.gossip.get(one.name, LIMITS_TOPIC)
            two.limits.merge_row(one.name, row.payload)
            return two.upstream_limits.may_send("u1")

        self.assertFalse(self.run_scenario(scenario))

    def test_removal_of_the_limit_reaches_all_routers_that_request_permits(self):
        async def scenario(fleet):
            await fleet.receive_limit_everywhere()
            fleet.pass_time(2.0)
            one, two = fleet.non_issuers()
            await one.request_permits()
            permit = one.upstream_limits.use_permit("u1", fleet.clock())
            fleet.pass_time(0.3)
            one.receive_limit(math.inf, permit)
            await fleet.run_tasks()
            self.assertFalse(two.upstream_limits.may_send("u1"))
            await two.request_permits()
            row = one.gossip.get(one.name, LIMITS_TOPIC)
            two.limits.merge_row(one.name, row.payload)
            return one.upstream_limits.may_send("u1"), two.upstream_limits.may_send(
                "u1"
            )

        self.assertEqual((True, True), self.run_scenario(scenario))

    def test_response_to_a_request_without_a_permit_does_not_remove_the_limit(self):
        async def scenario(fleet):
            await fleet.receive_limit_everywhere()
            router = fleet.non_issuers()[0]
            router.receive_limit(math.inf)
            await fleet.run_tasks()
            return router.upstream_limits.may_send("u1")

        self.assertFalse(self.run_scenario(scenario))

    def test_limit_does_not_apply_after_a_restart_of_the_upstream(self):
        async def scenario(fleet):
            await fleet.receive_limit_everywhere()
            one, two, _ = fleet
            one.list_upstream(STARTED_MS + 1)
            row = two.gossip.get(two.name, LIMITS_TOPIC)
            one.limits.merge_row(two.name, row.payload)
            return one.upstream_limits.may_send("u1")

        self.assertTrue(self.run_scenario(scenario))

    def test_late_responses_of_an_earlier_incarnation_are_ignored(self):
        async def scenario(fleet):
            router = fleet.routers["r0"]
            router.list_upstream(STARTED_MS + 1)
            router.receive_limit(1.2)
            return router.upstream_limits.may_send("u1")

        self.assertTrue(self.run_scenario(scenario))

    def test_permits_expire_while_the_host_is_suspended(self):
        async def scenario(fleet):
            await fleet.receive_limit_everywhere()
            fleet.pass_time(2.0)
            router = fleet.non_issuers()[0]
            self.assertEqual(1, await router.request_permits())
            fleet.clock.advance(PERMIT_LIFETIME_S)
            router.limits.expire()
            return router.upstream_limits.may_send("u1")

        self.assertFalse(self.run_scenario(scenario))

    def test_malformed_messages_of_peers_are_rejected(self):
        async def scenario(fleet):
            router = fleet.routers["r0"]
            for raw in (
                b"",
                b"\x93\x01",
                msgspec.msgpack.encode(["r1", "u1", 7, -1.0]),
            ):
                try:
                    await router.limits.handle_request(raw)
                except TransportError:
                    continue
                self.fail(f"{raw!r} was answered")
            bad = msgspec.msgpack.encode([["u1", STARTED_MS, 1.2, -1.0]])
            self.assertRaises(msgspec.DecodeError, router.limits.merge_row, "r1", bad)
            return router.board.get(LimitsSection).limits

        self.assertEqual({}, self.run_scenario(scenario))

    def test_published_limits_are_bounded(self):
        async def scenario(fleet):
            router = fleet.routers["r0"]
            for number in range(MAX_LIMITS + 10):
                router.limits.record_limit(f"x{number}", STARTED_MS, 1.2)
            row_bytes = len(router.gossip.get("r0", LIMITS_TOPIC).payload)
            return row_bytes, len(router.board.get(LimitsSection).limits)

        row_bytes, kept = self.run_scenario(scenario)
        self.assertThat(row_bytes, LessThan(32 * MAX_LIMITS))
        self.assertEqual(MAX_LIMITS, kept)


class LostIssuerTests(TestCase):
    def test_another_router_issues_permits_after_the_lease_has_expired(self):
        async def main():
            fleet = Fleet()
            await fleet.receive_limit_everywhere()
            old = fleet.issuer()
            fleet.unreachable.add(old.name)
            fleet.pass_time(LEASE_TTL_S)
            one = next(router for router in fleet if router is not old)
            for _ in range(3):
                await one.request_permits()
                await fleet.run_tasks()
                fleet.pass_time(0.6)
            granted = await one.request_permits(count=5)
            for router in fleet:
                await router.limits.close()
            return granted

        self.assertNotEqual(0, self.run_async(main()))


class StaleEntryTests(TestCase):
    """Routers with outdated copies of the lease entries, as after an outage."""

    def permits_obtained_after(self, lose, seconds=2.0):
        async def main():
            fleet = Fleet()
            await fleet.receive_limit_everywhere()
            issuer = fleet.issuer()
            await lose(fleet, issuer)
            fleet.clock.advance(LEASE_TTL_S)
            fleet.kv.store.expire(fleet.clock())
            granted = 0
            for _ in range(int(seconds / 0.1)):
                for router in fleet:
                    if router.name not in fleet.unreachable:
                        granted += await router.request_permits(count=3)
                await asyncio.sleep(0.03)  # lets attempts to acquire the lease repeat
                fleet.clock.advance(0.1)
            for router in fleet:
                await router.limits.close()
            return granted

        return self.run_async(main(), timeout_s=20.0)

    def test_limited_upstream_is_not_idle_after_an_outage_of_the_service(self):
        async def lose(fleet, issuer):
            fleet.kv.faults.down = True
            fleet.clock.advance(LEASE_TTL_S)
            await asyncio.sleep(RENEW_INTERVAL_S + 0.1)
            fleet.kv.faults.down = False

        self.assertThat(self.permits_obtained_after(lose), GreaterThan(0))

    def test_limited_upstream_is_not_idle_after_its_issuer_was_lost(self):
        async def lose(fleet, issuer):
            fleet.unreachable.add(issuer.name)

        self.assertThat(self.permits_obtained_after(lose), GreaterThan(0))

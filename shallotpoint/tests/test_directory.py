"""Lists of hosts in the key-value service, and the router's registration there."""

import asyncio
import json
import random
import time

from testtools.matchers import GreaterThan, LessThan

from shallotpoint.blackboard import Blackboard
from shallotpoint.controllers.directory import (
    UPSTREAM_POLL_WAIT_S,
    DirectoryController,
    RouterRegistration,
    get_or_create_secret,
)
from shallotpoint.controllers.sections import HostsSection
from shallotpoint.coordination.entries import UnreadableEntry
from shallotpoint.coordination.kv import Delete, Put
from shallotpoint.coordination.memory_kv import MemoryKeyValue
from shallotpoint.platform_api.hosts import Host, HostState
from shallotpoint.testing.cases import TestCase, eventually


def read_upstream(name, raw):
    try:
        found = json.loads(raw)
        return Host(
            name,
            "upstream",
            found["address"],
            "here",
            pool="p",
            started_ms=found.get("started", 0),
            state=HostState(found.get("state", "live")),
        )
    except (ValueError, KeyError) as exc:
        raise UnreadableEntry(repr(exc)) from exc


def fail_to_read(name, raw):
    """Read an entry, with a fault that only the entry "odd" brings out."""
    if name == "odd":
        raise OverflowError("a number too large")
    return read_upstream(name, raw)


def put_upstream(name, address="10.0.0.1:1", **more):
    return Put(f"u/{name}", json.dumps({"address": address, **more}).encode())


class DirectoryTests(TestCase):
    read_upstream = staticmethod(read_upstream)

    def run_scenario(self, scenario):
        async def main():
            kv = MemoryKeyValue(clock=time.monotonic, rng=random.Random(1))
            board = Blackboard()
            restarted = []
            self.ended = []
            self.departed = []
            controller = DirectoryController(
                board,
                sources=lambda: [kv],
                upstream_prefix="u/",
                router_prefix="r/",
                read_upstream=self.read_upstream,
                clock=time.monotonic,
                rng=random.Random(2),
                on_restart=restarted.append,
                on_end=lambda host: self.ended.append((host.name, host.started_ms)),
                on_departures=lambda departed, revision: self.departed.append(
                    (departed, revision == kv.store.revision)
                ),
            )
            self.controller = controller
            task = asyncio.create_task(controller.run())
            try:
                return await scenario(kv, board, restarted)
            finally:
                task.cancel()
                await asyncio.gather(task, return_exceptions=True)

        return self.run_async(main())

    def test_upstreams_and_routers_are_listed(self):
        async def scenario(kv, board, restarted):
            await kv.txn([], [put_upstream("a"), put_upstream("b")])
            registration = RouterRegistration(
                kv,
                "r/one",
                address="10.0.0.9:7",
                data_centre="here",
                rng=random.Random(3),
            )
            running = asyncio.create_task(registration.run())
            hosts = lambda: board.get(HostsSection)  # noqa: E731
            await eventually(lambda: hosts().members("p") == ("a", "b"))
            await eventually(lambda: "one" in hosts().routers())
            await kv.txn([], [Delete("u/a")])
            await eventually(lambda: hosts().members("p") == ("b",))
            running.cancel()
            await registration.deregister()
            await eventually(lambda: not hosts().routers())

        self.run_scenario(scenario)

    def test_unreadable_entry_does_not_affect_others(self):
        async def scenario(kv, board, restarted):
            await kv.txn([], [put_upstream("a"), Put("u/b", b"\xff"), Put("r/x", b"?")])
            hosts = lambda: board.get(HostsSection)  # noqa: E731
            await eventually(lambda: hosts().members("p") == ("a",))

        self.run_scenario(scenario)

    def test_recover_entry_whose_reader_fails_does_not_stop_the_list(self):
        # Guards against one entry that ends the task which follows the list, again and
        # again, so that no other change of the list takes effect.
        self.read_upstream = fail_to_read

        async def scenario(kv, board, restarted):
            await kv.txn([], [put_upstream("odd"), put_upstream("a")])
            hosts = lambda: board.get(HostsSection)  # noqa: E731
            await eventually(lambda: hosts().members("p") == ("a",))
            await kv.txn([], [put_upstream("b"), Delete("u/a")])
            await eventually(lambda: hosts().members("p") == ("b",))

        self.run_scenario(scenario)

    def test_restart_under_the_same_name_is_reported(self):
        async def scenario(kv, board, restarted):
            await kv.txn([], [put_upstream("a", started=1)])
            await eventually(lambda: board.get(HostsSection).members("p"))
            await kv.txn([], [put_upstream("a", started=1, other=2)])
            await kv.txn([], [put_upstream("a", started=2)])
            await eventually(lambda: restarted == ["a"])

        self.run_scenario(scenario)

    def test_end_detected_only_from_the_list_of_hosts_is_reported(self):
        # Guards against ignoring an upstream's end that shows only as a restart or an
        # expired entry: a request that crashes upstreams was not blocked in time.
        async def scenario(kv, board, restarted):
            await kv.txn(
                [], [put_upstream("a", started=1), put_upstream("b", started=7)]
            )
            await eventually(lambda: len(board.get(HostsSection).members("p")) == 2)
            await kv.txn([], [put_upstream("a", started=2)])
            await kv.txn([], [Delete("u/b")])
            await eventually(lambda: self.ended == [("a", 1), ("b", 7)])

        self.run_scenario(scenario)

    def test_departures_are_reported_once_with_the_revision_of_the_list(self):
        # Guards against peers that don't hear of a leaving upstream while the
        # key-value service refuses them.
        async def scenario(kv, board, restarted):
            names = [put_upstream(n, started=7) for n in "abc"]
            await kv.txn([], names)
            await eventually(lambda: len(board.get(HostsSection).members("p")) == 3)
            await kv.txn([], [put_upstream("a", started=7, state="leaving")])
            await eventually(lambda: len(self.departed) == 1)
            await kv.txn([], [Delete("u/b"), put_upstream("c", started=8)])
            await eventually(lambda: len(self.departed) == 2)
            await kv.txn([], [Delete("u/a")])
            await eventually(lambda: board.get(HostsSection).members("p") == ("c",))

        self.run_scenario(scenario)
        self.assertEqual([([("a", 7)], True), ([("b", 7)], True)], self.departed)

    def test_silent_service_is_noticed_within_the_drain_bound(self):
        # Guards against news of leaving upstreams that reach a large group late, as
        # its one reader of the key-value service waited for an answer.
        async def scenario(kv, board, restarted):
            waits_s = []
            for drain_s, has_single_reader in ((3.0, True), (2.0, True), (3.0, False)):
                self.controller.set_drain_bound(
                    drain_s, has_single_reader=has_single_reader
                )
                waits_s.append(self.controller.upstreams.max_served_age_s)
            return waits_s

        large, tight, mesh = self.run_scenario(scenario)
        # The rest is for the call to the service itself and for news among routers.
        self.assertThat(large, LessThan(2 / 3 * 3.0))
        self.assertThat(tight, LessThan(2 / 3 * 2.0))
        self.assertThat(mesh, GreaterThan(UPSTREAM_POLL_WAIT_S))

    def test_expired_registration_is_renewed(self):
        async def scenario(kv, board, restarted):
            registration = RouterRegistration(
                kv, "r/one", address="10.0.0.9:7", data_centre="d", rng=random.Random(3)
            )
            await registration._renew()
            kv.store.expire(0.0, all_leases=True)
            gone = kv.store.get("r/one")
            await registration._renew()
            return gone, kv.store.get("r/one")

        gone, back = self.run_scenario(scenario)
        self.assertIsNone(gone)
        self.assertIsNotNone(back)

    def test_all_routers_share_the_first_secret(self):
        async def scenario(kv, board, restarted):
            offers = [get_or_create_secret(kv, "s", bytes([n])) for n in range(4)]
            return set(await asyncio.gather(*offers))

        self.assertEqual(1, len(self.run_scenario(scenario)))

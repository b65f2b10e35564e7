"""Rows and configuration reach all members; the overlay is sparse and connected."""

import asyncio
import math
import random

import msgspec
from hypothesis import given, strategies as st
from testtools.matchers import LessThan

from shallotpoint.coordination.config import ConfigState, Section
from shallotpoint.coordination.gossip import Board
from shallotpoint.coordination.overlay import groups, neighbours, rank, subset
from shallotpoint.coordination.peers import ConfigPort, Peers
from shallotpoint.coordination.transport import (
    MessageAuthenticator,
    NngTransport,
    TransportError,
)
from shallotpoint.testing.cases import TestCase


class MemoryTransport:
    """Delivers messages within the process; can lose them and isolate members."""

    def __init__(self, rng, loss=0.0):
        self.handlers = {}
        self.rng = rng
        self.loss = loss
        self.isolated = set()

    async def request(self, address, message, *, timeout_s):
        await asyncio.sleep(0)
        if address in self.isolated or self.rng.random() < self.loss:
            raise TransportError("lost")
        return await self.handlers[address](message)


class ConfigHolder:
    def __init__(self):
        self.state = ConfigState()

    def merge_sections(self, sections):
        for section in sections:
            self.state = self.state.merged(section)


def make_members(count, seed=1, loss=0.0):
    transport = MemoryTransport(random.Random(seed), loss)
    members = {}

    async def answer(body):
        return body

    for index in range(count):
        name = f"m{index}"
        holder = ConfigHolder()
        peers = Peers(
            Board(name, 1),
            transport,
            config=ConfigPort(lambda h=holder: h.state, holder.merge_sections),
            answer_query=answer,
            clock=lambda: 0.0,
            rng=random.Random(index),
        )
        transport.handlers[name] = peers.handle
        members[name] = (peers, holder)
    return transport, members


class GossipTests(TestCase):
    @given(st.integers(0, 10_000))
    def test_rows_and_config_reach_all_despite_loss(self, seed):
        async def main():
            _, members = make_members(5, seed, loss=0.3)
            names = {name: name for name in members}
            for name, (peers, _) in members.items():
                peers.board.publish("load", name.encode(), now=0.0)
            members["m0"][1].merge_sections([Section("classes", 7, {"x": {"tier": 1}})])
            for _ in range(40):
                for name, (peers, _) in members.items():
                    others = {n: a for n, a in names.items() if n != name}
                    await peers.run_round(others, all_neighbours=True)
            for peers, holder in members.values():
                assert len(list(peers.board.rows("load"))) == 5
                assert holder.state.version == 7

        asyncio.run(main())

    def test_members_take_the_newer_version_after_a_partition(self):
        async def main():
            transport, members = make_members(2)
            one, two = members["m0"], members["m1"]
            one[1].merge_sections([Section("classes", 3)])
            two[1].merge_sections([Section("classes", 5)])
            transport.isolated = {"m0", "m1"}
            await one[0].run_round({"m1": "m1"}, all_neighbours=True)
            self.assertEqual(3, one[1].state.version)
            transport.isolated = set()
            await one[0].run_round({"m1": "m1"}, all_neighbours=True)
            return one[1].state.version, two[1].state.version

        self.assertEqual((5, 5), self.run_async(main()))

    def test_malformed_messages_are_counted_and_dropped(self):
        async def main():
            _, members = make_members(1)
            peers = members["m0"][0]
            for raw in (b"", b"\xff\xff", b"\x93\x01\x02\x03"):
                with self.assertRaises(TransportError):
                    await peers.handle(raw)
            return peers.stats.malformed

        self.assertEqual(3, self.run_async(main()))

    def test_malformed_row_does_not_affect_other_rows(self):
        async def main():
            _, members = make_members(2)
            one, two = members["m0"][0], members["m1"][0]
            seen = []

            def read(rows):
                seen.extend(msgspec.msgpack.decode(r.payload, type=int) for r in rows)

            two._on_rows = read
            for topic, payload in (("a", b"\x01"), ("b", b"\xc1"), ("c", b"\x03")):
                one.board.publish(topic, payload, now=0.0)
            await one.exchange("m1", "m1")
            await one.exchange("m1", "m1")
            return sorted(seen), two.stats.malformed

        self.assertEqual(([1, 3], 1), self.run_async(main()))

    def test_row_that_cannot_be_applied_does_not_affect_other_rows(self):
        # Guards against a peer's row that ends the answer to its message.
        async def main():
            _, members = make_members(2)
            one, two = members["m0"][0], members["m1"][0]
            seen = []

            def apply(rows):
                seen.extend(1.0 * msgspec.msgpack.decode(r.payload) for r in rows)

            two._on_rows = apply
            for topic, payload in (("a", b"\x01"), ("b", b"\x80"), ("c", b"\x03")):
                one.board.publish(topic, payload, now=0.0)
            await one.exchange("m1", "m1")
            await one.exchange("m1", "m1")
            return sorted(seen), two.stats.malformed

        self.assertEqual(([1.0, 3.0], 1), self.run_async(main()))

    def test_a_restarted_member_replaces_its_rows(self):
        board = Board("me", 1)
        old, new = Board("other", 1), Board("other", 2)
        for _ in range(5):
            old.publish("load", b"old", now=0.0)
        new.publish("load", b"new", now=0.0)
        board.merge(old.delta({}), now=0.0)
        board.merge(new.delta({}), now=0.0)
        board.merge(old.delta({}), now=0.0)
        self.assertEqual(b"new", board.get("other", "load").payload)


class TransportTests(TestCase):
    def test_message_signed_with_another_key_is_rejected(self):
        async def main():
            async def echo(message):
                return message

            good, bad = (
                NngTransport(MessageAuthenticator(b"key")),
                NngTransport(MessageAuthenticator(b"other")),
            )
            async with good.listening("127.0.0.1:0", echo) as address:
                reply = await good.request(address, b"hi", timeout_s=2.0)
                with self.assertRaises(TransportError):
                    await bad.request(address, b"hi", timeout_s=0.3)
                rejected = good.rejected
            good.close()
            bad.close()
            return reply, rejected

        self.assertEqual((b"hi", 1), self.run_async(main()))


class OverlayTests(TestCase):
    def test_small_fleets_are_a_full_mesh(self):
        names = [f"m{i}" for i in range(9)]
        self.assertEqual(8, len(neighbours("m0", names)))

    def test_large_fleets_have_few_connections_and_few_hops(self):
        names = [f"m{i}" for i in range(340)]
        dialled = {n: neighbours(n, names) for n in names}
        self.assertThat(max(map(len, dialled.values())), LessThan(10))
        reached, steps = {"m0"}, 0
        while len(reached) < 340:
            reached |= {x for n in reached for x in dialled[n]}
            steps += 1
        self.assertThat(steps, LessThan(math.log2(340) + 1))

    def test_groups_are_of_nearly_equal_size(self):
        sizes = [len(group) for group in groups([f"m{i}" for i in range(57)])]
        self.assertThat(max(sizes) - min(sizes), LessThan(2))

    def test_removing_an_upstream_hardly_changes_a_subset(self):
        things = [f"u{i}" for i in range(300)]
        before = set(subset("m0", things, count=24))
        after = set(subset("m0", things[:-1], count=24))
        self.assertThat(len(before - after), LessThan(2))
        self.assertEqual(sorted(rank(things, "x")), sorted(things))

"""The configuration of a deployment that keeps it under one key."""

import asyncio
import random

from shallotpoint.blackboard import Blackboard
from shallotpoint.controllers.directory import ROUTER_GRACE_S
from shallotpoint.controllers.route_config import RouteConfigController
from shallotpoint.controllers.sections import ConfigSection
from shallotpoint.coordination.eras import join_era
from shallotpoint.coordination.kv import Entry
from shallotpoint.policy.configuration import Config, InvalidConfig
from shallotpoint.policy.model import Pool, PoolKind
from shallotpoint.testing.cases import FakeClock, TestCase


def read(raw: bytes) -> Config:
    """Read a version and the name of a pool."""
    version, _, pool = raw.decode().partition(" ")
    if version == "fault":
        raise OverflowError("a number too large")
    if not version.isdigit():
        raise InvalidConfig(f"version {version!r} is not a number")
    return Config(int(version), pools={pool: Pool(pool, PoolKind.SERVICE)})


class RouteConfigTests(TestCase):
    def setUp(self):
        super().setUp()
        self.board = Blackboard()
        self.controller = RouteConfigController(
            self.board,
            lambda: [],
            key="config",
            read=read,
            clock=FakeClock(),
            rng=random.Random(1),
        )

    def apply(self, raw, revision):
        """Apply a value; return the version and the pools in force."""
        self.controller._apply({"config": Entry("config", raw, revision)})
        config = self.board.get(ConfigSection).config
        return config.version, list(config.pools)

    def test_older_and_invalid_versions_are_ignored(self):
        self.apply(b"7 a", 5)
        self.assertEqual((7, ["a"]), self.apply(b"6 b", 6))
        self.assertEqual((7, ["a"]), self.apply(b"x", 7))
        self.assertEqual((8, ["c"]), self.apply(b"8 c", 8))

    def test_config_change_after_one_whose_reader_fails_is_taken(self):
        # Guards against a configuration that ends the task which follows it, again and
        # again, so that no later change takes effect.
        self.apply(b"7 a", 5)
        self.assertEqual((7, ["a"]), self.apply(b"fault b", 6))
        self.assertEqual((8, ["c"]), self.apply(b"8 c", 7))

    def test_version_that_was_lost_and_given_again_is_taken(self):
        # Guards against a router that stays with the lost content for ever.
        self.apply(b"7 lost", 5)
        self.apply(b"6 old", join_era(1, 4))
        self.assertEqual((7, ["new"]), self.apply(b"7 new", join_era(1, 5)))

    def test_earlier_content_of_a_version_is_not_taken_back(self):
        self.apply(b"7 lost", 5)
        self.apply(b"7 new", join_era(1, 5))
        self.assertEqual((7, ["new"]), self.apply(b"7 lost", 5))


class RestoredStoreTests(TestCase):
    """A router that starts while the store holds an old backup."""

    def start(self, peer_values, *, era=1, clock=None, value=b"6 old"):
        """Return the version in force some time after the store's first answer."""

        async def main():
            asked = []

            async def ask_peers():
                asked.append(1)
                return peer_values(len(asked))

            board = Blackboard()
            controller = RouteConfigController(
                board,
                lambda: [],
                key="config",
                read=read,
                clock=clock or FakeClock(),
                rng=random.Random(1),
                ask_peers=ask_peers,
            )
            entry = Entry("config", value, join_era(era, 4))
            controller._apply({"config": entry})
            before = board.get(ConfigSection).config.version
            confirming = asyncio.create_task(controller._confirm_first())
            if era:
                await confirming
            confirming.cancel()
            return before, board.get(ConfigSection).config.version, len(asked)

        return self.run_async(main())

    def test_newer_version_of_a_peer_is_taken(self):
        # Guards against keys that were taken away and work again.
        found = self.start(lambda calls: [b"7 new", b"5 a"] if calls > 1 else [])
        self.assertEqual((0, 7, 2), found)

    def test_newer_version_of_the_store_is_taken(self):
        self.assertEqual((0, 6, 1), self.start(lambda calls: [b"5 a"]))

    def test_first_version_of_a_store_without_losses_is_taken_at_once(self):
        self.assertEqual((6, 6, 0), self.start(lambda calls: [], era=0))

    def test_router_without_peers_takes_the_version_of_the_store_in_the_end(self):
        clock = FakeClock()

        def nobody(calls):
            clock.advance(ROUTER_GRACE_S)
            return []

        self.assertEqual((0, 6, 1), self.start(nobody, clock=clock))

"""The configuration of a deployment that keeps it under one key."""

import random

from shallotpoint.blackboard import Blackboard
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

    def test_version_that_was_lost_and_given_again_is_taken(self):
        # Guards against a router that stays with the lost content for ever.
        self.apply(b"7 lost", 5)
        self.apply(b"6 old", join_era(1, 4))
        self.assertEqual((7, ["new"]), self.apply(b"7 new", join_era(1, 5)))

    def test_earlier_content_of_a_version_is_not_taken_back(self):
        self.apply(b"7 lost", 5)
        self.apply(b"7 new", join_era(1, 5))
        self.assertEqual((7, ["new"]), self.apply(b"7 lost", 5))

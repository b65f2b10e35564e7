"""The stand-in of an engine: the requests that it reads."""

from shallotpoint.standins.engine import read_generation
from shallotpoint.testing.cases import TestCase


class ReadTests(TestCase):
    def test_empty_messages_are_malformed(self):
        body = {"model": "m", "messages": [], "continue_final_message": True}
        self.assertRaises(ValueError, read_generation, body)

"""Ids of events that upstreams choose, also those that are no usable numbers."""

from shallotpoint.testing.cases import TestCase
from shallotpoint.upstreams.event_ids import continues_after, drop_sent_events

LONG_ID = b"9" * 5_000


class OddIdTests(TestCase):
    def test_stream_with_an_odd_event_id_is_resumed_as_without_numbers(self):
        # Guards against an id that int() refuses: the attempt that resumed a stream
        # ended with an error of the router's own.
        events = b"id: 6\ndata: c\n\n"
        for odd in (LONG_ID, b"\xb2", b"x", b""):
            self.assertTrue(continues_after(events, odd), odd[:9])
            self.assertEqual(events, drop_sent_events(events, odd), odd[:9])
            odd_events = b"id: " + odd + b"\ndata: c\n\n"
            self.assertTrue(continues_after(odd_events, b"5"), odd[:9])
            self.assertEqual(odd_events, drop_sent_events(odd_events, b"5"), odd[:9])

"""A credit row assembled from its changed parts equals the row sent whole."""

from hypothesis import given, strategies as st
from testtools.matchers import Equals, LessThan

from shallotpoint.coordination.credit_parts import PartReader, PartWriter, encode_parts
from shallotpoint.coordination.credit_rows import (
    BorrowerCounters,
    CreditRow,
    UpstreamUsage,
)
from shallotpoint.testing.cases import TestCase

upstreams = st.sampled_from(["u1", "u2", "u3"])
addresses = st.sampled_from(["me#1", "me#2", "other#1"])
counts = st.integers(0, 5)
rows = st.builds(
    CreditRow,
    usage=st.dictionaries(
        upstreams, st.builds(UpstreamUsage, counts, counts, counts, counts)
    ),
    granted=st.dictionaries(addresses, st.dictionaries(upstreams, counts)),
    borrower_counters=st.dictionaries(
        addresses,
        st.dictionaries(upstreams, st.builds(BorrowerCounters, counts, counts)),
    ),
    membership_hash=counts,
    incarnations=st.dictionaries(st.sampled_from(["me", "other"]), counts),
)


def expected_row(row):
    """Return a row without counters of other members and of upstreams without usage."""

    def own(counters):
        kept = {a: {u: c for u, c in m.items() if u in row.usage} for a, m in counters}
        return {a: m for a, m in kept.items() if m and a.startswith("me#")}

    granted, borrowed = own(row.granted.items()), own(row.borrower_counters.items())
    return CreditRow(
        row.usage, granted, borrowed, row.membership_hash, row.incarnations
    )


class PartsTests(TestCase):
    @given(st.lists(rows, min_size=1, max_size=6))
    def test_changed_parts_add_up_to_the_last_row(self, history):
        writer, reader = PartWriter(), PartReader("me")
        for row in history:
            for topic, payload in writer.encode_changed(row).items():
                reader.add_part("one", 1, topic, payload)
            assert reader.row("one").row == expected_row(row)

    def test_restart_discards_parts_of_the_previous_incarnation(self):
        reader = PartReader("me")
        for incarnation, name in ((1, "u1"), (2, "u2"), (1, "u1")):
            row = CreditRow(usage={name: UpstreamUsage(held=1)})
            for topic, payload in encode_parts(row).items():
                reader.add_part("one", incarnation, topic, payload)
        credits = reader.row("one")
        self.assertThat(
            (credits.incarnation, [*credits.row.usage]), Equals((2, ["u2"]))
        )

    def test_parts_of_peers_that_are_not_kept_are_dropped(self):
        reader = PartReader("me")
        for origin in ("one", "two"):
            for topic, payload in encode_parts(CreditRow()).items():
                reader.add_part(origin, 1, topic, payload)
        reader.drop_except(["two"])
        self.assertIsNone(reader.row("one"))
        self.assertIsNotNone(reader.row("two"))

    def test_one_change_among_many_upstreams_is_small(self):
        use = {f"u{i}": UpstreamUsage(held=1) for i in range(100)}
        writer = PartWriter()
        whole = sum(map(len, writer.encode_changed(CreditRow(use)).values()))
        changed = writer.encode_changed(CreditRow({**use, "u7": UpstreamUsage(held=2)}))
        self.assertEqual(["credits:u7"], list(changed))
        self.assertThat(sum(map(len, changed.values())), LessThan(whole / 50))

"""A board of versioned rows that is replicated among members.

Each member writes only its own rows.  A row carries the member's incarnation and a
sequence number, and the row with the highest numbers wins, so that copies may be
lost, repeated or late.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field

import msgspec

from shallotpoint.types import Seconds

MEMBER_EXPIRY_S = 60.0
MAX_DELTA_BYTES = 256 << 10


class Row(msgspec.Struct, frozen=True, array_like=True):
    """The value of one topic of one member.

    Attributes
    ----------
    origin : str
        Name of the member that wrote the row.
    incarnation : int
        Grows with each start of the member.
    seq : int
        Grows with each row that the member writes, over all topics.
    payload : bytes
        Encoded value; each topic has its own format.
    """

    origin: str
    incarnation: int
    topic: str
    seq: int
    payload: bytes


class Watermark(msgspec.Struct, frozen=True, array_like=True):
    """Incarnation and highest sequence number received of one member's rows."""

    incarnation: int
    seq: int


Digest = dict[str, Watermark]


@dataclass(slots=True)
class _MemberRows:
    """Rows of one member, their highest sequence number and the time of the last."""

    incarnation: int
    seq: int = 0
    rows: dict[str, Row] = field(default_factory=dict)
    updated_at_s: Seconds = 0.0


class Board:
    """One member's replica of the rows of all members.

    Parameters
    ----------
    name : str
        Name of this member.
    incarnation : int
        Number that is higher at each start, such as the start time in ms.

    Examples
    --------
    >>> one, two = Board("one", 1), Board("two", 1)
    >>> one.publish("load", b"3", now=0.0)
    >>> [row.topic for row in two.merge(one.delta(two.digest()), now=0.1)]
    ['load']
    >>> two.merge(one.delta({}), now=0.2)
    []
    """

    def __init__(self, name: str, incarnation: int):
        self.name = name
        self.incarnation = incarnation
        self._members: dict[str, _MemberRows] = {name: _MemberRows(incarnation)}

    def publish(self, topic: str, payload: bytes, *, now: Seconds) -> None:
        """Write a row of this member, in place of its last row on the topic."""
        own = self._members[self.name]
        own.seq += 1
        own.updated_at_s = now
        own.rows[topic] = Row(self.name, self.incarnation, topic, own.seq, payload)

    def get(self, origin: str, topic: str) -> Row | None:
        """Return a member's row on a topic, None if there is none."""
        member = self._members.get(origin)
        return member.rows.get(topic) if member else None

    def rows(self, topic: str) -> Iterator[Row]:
        """Iterate over the rows of all members on one topic."""
        for member in self._members.values():
            row = member.rows.get(topic)
            if row is not None:
                yield row

    def digest(self) -> Digest:
        """Return the highest sequence number received from each member."""
        return {n: Watermark(m.incarnation, m.seq) for n, m in self._members.items()}

    def delta(
        self, digest: Mapping[str, Watermark], *, max_bytes: int = MAX_DELTA_BYTES
    ) -> list[Row]:
        """Return the rows that a member with this digest lacks.

        The rows of one origin are in the order of their sequence numbers, so that the
        next delta continues one that was cut off at ``max_bytes``.
        """
        rows: list[Row] = []
        size = 0
        for name, member in self._members.items():
            watermark = digest.get(name)
            for row in _newer_rows(member, watermark):
                # The other fields and the length prefixes take about 16 bytes (15 to
                # 22 in msgpack).
                size += len(row.payload) + len(row.topic) + len(row.origin) + 16
                if size > max_bytes and rows:
                    return rows
                rows.append(row)
        return rows

    def merge(self, rows: Iterable[Row], *, now: Seconds) -> list[Row]:
        """Store the rows that are newer than those held; return these."""
        new_rows = []
        for row in sorted(rows, key=lambda row: row.seq):
            if row.origin != self.name and self._merge_row(row, now):
                new_rows.append(row)
        return new_rows

    def members(self) -> list[str]:
        """Return the names of all members that have rows here."""
        return list(self._members)

    def expire_members(self, *, now: Seconds, keep: Iterable[str] = ()) -> None:
        """Drop the rows of members without a new row for ``MEMBER_EXPIRY_S``.

        Members in ``keep`` stay.
        """
        kept = {self.name, *keep}
        for name, member in list(self._members.items()):
            if name not in kept and now - member.updated_at_s > MEMBER_EXPIRY_S:
                del self._members[name]

    def _merge_row(self, row: Row, now: Seconds) -> bool:
        member = self._members.get(row.origin)
        if member is None or row.incarnation > member.incarnation:
            member = self._members[row.origin] = _MemberRows(row.incarnation)
        if row.incarnation < member.incarnation:
            return False
        current = member.rows.get(row.topic)
        if current is not None and current.seq >= row.seq:
            return False
        member.rows[row.topic] = row
        if row.seq > member.seq:
            member.seq = row.seq
            member.updated_at_s = now
        return True


def _newer_rows(member: _MemberRows, watermark: Watermark | None) -> list[Row]:
    """Return a member's rows above a watermark, by sequence number."""
    rows: Iterable[Row] = member.rows.values()
    if watermark is not None and watermark.incarnation > member.incarnation:
        return []
    if watermark is not None and watermark.incarnation == member.incarnation:
        if watermark.seq >= member.seq:
            return []
        rows = (row for row in rows if row.seq > watermark.seq)
    return sorted(rows, key=lambda row: row.seq)

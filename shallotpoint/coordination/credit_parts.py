"""A member's credit row split by upstream, so that only changed parts are sent.

Each part has its own topic on the board.  The counters of one upstream don't depend
on any other part, and the board delivers a member's rows in the order of their
sequence numbers, so a row assembled from parts is equivalent to one sent whole.
"""

from __future__ import annotations

from collections.abc import Container, Mapping
from typing import TypeVar

import msgspec

from shallotpoint.coordination.credit_rows import (
    BorrowerCounters,
    CreditRow,
    PeerCredits,
    UpstreamUsage,
)

_T = TypeVar("_T")
TOPIC = "credits"
_PREFIX = f"{TOPIC}:"


class _MembershipPart(msgspec.Struct, frozen=True, array_like=True):
    """The part that belongs to no upstream; fields as in :class:`CreditRow`."""

    membership_hash: int = 0
    incarnations: dict[str, int] = {}


class _UpstreamPart(msgspec.Struct, frozen=True, array_like=True):
    """One upstream's usage and counters; without usage the upstream was removed."""

    usage: UpstreamUsage | None = None
    granted: dict[str, int] = {}
    borrower_counters: dict[str, BorrowerCounters] = {}


_membership_decoder = msgspec.msgpack.Decoder(_MembershipPart)
_upstream_decoder = msgspec.msgpack.Decoder(_UpstreamPart)


def is_credit_topic(topic: str) -> bool:
    """Return whether a topic of the board carries a part of a credit row."""
    return topic == TOPIC or topic.startswith(_PREFIX)


def encode_parts(row: CreditRow) -> dict[str, bytes]:
    """Return a row's encoded parts by topic.

    Examples
    --------
    >>> sorted(encode_parts(CreditRow(usage={"u": UpstreamUsage(wanted=1)})))
    ['credits', 'credits:u']
    """
    parts = {
        TOPIC: msgspec.msgpack.encode(
            _MembershipPart(row.membership_hash, row.incarnations)
        )
    }
    for name, usage in row.usage.items():
        granted = {p: c[name] for p, c in row.granted.items() if name in c}
        borrower_counters = {
            p: t[name] for p, t in row.borrower_counters.items() if name in t
        }
        parts[_PREFIX + name] = msgspec.msgpack.encode(
            _UpstreamPart(usage, granted, borrower_counters)
        )
    return parts


class PartWriter:
    """Encodes the parts of this member's row that have changed since the last call.

    Examples
    --------
    >>> writer = PartWriter()
    >>> row = CreditRow(usage={"u": UpstreamUsage(held=1)})
    >>> [sorted(writer.encode_changed(row)) for _ in range(2)]
    [['credits', 'credits:u'], []]
    """

    def __init__(self) -> None:
        self._last_written: dict[str, bytes] = {}

    def encode_changed(self, row: CreditRow) -> dict[str, bytes]:
        """Return the encoded parts to publish, by topic.

        An upstream that was removed since the last call has a part without usage.
        """
        parts = encode_parts(row)
        removed = msgspec.msgpack.encode(_UpstreamPart())
        parts |= dict.fromkeys(self._last_written.keys() - parts.keys(), removed)
        changed_parts = {
            t: p for t, p in parts.items() if self._last_written.get(t) != p
        }
        self._last_written |= changed_parts
        return changed_parts


class PartReader:
    """Assembles the rows of peers from their parts.

    Parameters
    ----------
    name : str
        Name of this member; counters between two other members are dropped.

    Examples
    --------
    >>> reader = PartReader("two")
    >>> row = CreditRow(usage={"u": UpstreamUsage(held=2)})
    >>> for topic, payload in encode_parts(row).items():
    ...     reader.add_part("one", 7, topic, payload)
    >>> reader.row("one") == PeerCredits(7, row)
    True
    """

    def __init__(self, name: str) -> None:
        self._own_address_prefix = f"{name}#"
        self._peers: dict[
            str, tuple[int, dict[str, _MembershipPart | _UpstreamPart]]
        ] = {}

    def add_part(
        self, origin: str, incarnation: int, topic: str, payload: bytes
    ) -> None:
        """Store one encoded part of a peer's row.

        Raises
        ------
        msgspec.DecodeError
            If the part is malformed.
        """
        decoder = _membership_decoder if topic == TOPIC else _upstream_decoder
        part = decoder.decode(payload)
        if isinstance(part, _UpstreamPart):
            part = _UpstreamPart(
                part.usage,
                self._own_counters(part.granted),
                self._own_counters(part.borrower_counters),
            )
        stored = self._peers.get(origin)
        if stored is None or incarnation > stored[0]:
            stored = self._peers[origin] = (incarnation, {})
        if incarnation == stored[0]:
            stored[1][topic] = part

    def _own_counters(self, counters: Mapping[str, _T]) -> dict[str, _T]:
        """Return the counters that are addressed to this member."""
        return {
            a: c for a, c in counters.items() if a.startswith(self._own_address_prefix)
        }

    def drop_except(self, keep: Container[str]) -> None:
        """Drop the parts of all peers that are not in ``keep``."""
        self._peers = {n: p for n, p in self._peers.items() if n in keep}

    def row(self, origin: str) -> PeerCredits | None:
        """Return a peer's row from the parts received so far.

        Return None before its :class:`_MembershipPart` has been received.
        """
        incarnation, parts = self._peers.get(origin, (0, {}))
        membership = parts.get(TOPIC)
        if not isinstance(membership, _MembershipPart):
            return None
        usage: dict[str, UpstreamUsage] = {}
        granted: dict[str, dict[str, int]] = {}
        borrower_counters: dict[str, dict[str, BorrowerCounters]] = {}
        for topic, part in parts.items():
            if not isinstance(part, _UpstreamPart) or part.usage is None:
                continue
            name = topic.removeprefix(_PREFIX)
            usage[name] = part.usage
            for address, count in part.granted.items():
                granted.setdefault(address, {})[name] = count
            for address, counts in part.borrower_counters.items():
                borrower_counters.setdefault(address, {})[name] = counts
        row = CreditRow(
            usage,
            granted,
            borrower_counters,
            membership.membership_hash,
            membership.incarnations,
        )
        return PeerCredits(incarnation, row)

"""A member's credit row cut by upstream, so that only what changed travels.

Each part has a topic of its own on the board.  Counters of one upstream depend on
nothing in another part, and a board hands rows on in the order of their numbers,
so a row put together from parts is as good as one sent whole.
"""

from __future__ import annotations

from collections.abc import Container, Mapping
from typing import TypeVar

import msgspec

from shallotpoint.coordination.credit_rows import CreditRow, PeerCredits, Taken, Use

_T = TypeVar("_T")
TOPIC = "credits"
_PREFIX = f"{TOPIC}:"


class _Head(msgspec.Struct, frozen=True, array_like=True):
    view: int = 0
    known: dict[str, int] = {}


class _Part(msgspec.Struct, frozen=True, array_like=True):
    """One upstream's use and counters; no use says that it is gone."""

    use: Use | None = None
    granted: dict[str, int] = {}
    taken: dict[str, Taken] = {}


_heads = msgspec.msgpack.Decoder(_Head)
_parts = msgspec.msgpack.Decoder(_Part)


def is_credit_topic(topic: str) -> bool:
    """Return whether a board's topic belongs to credits."""
    return topic == TOPIC or topic.startswith(_PREFIX)


def split(row: CreditRow) -> dict[str, bytes]:
    """Return a row's parts by topic.

    Examples
    --------
    >>> sorted(split(CreditRow(use={"u": Use(wanted=1)})))
    ['credits', 'credits:u']
    """
    found = {TOPIC: msgspec.msgpack.encode(_Head(row.view, row.known))}
    for name, use in row.use.items():
        granted = {p: c[name] for p, c in row.granted.items() if name in c}
        taken = {p: t[name] for p, t in row.taken.items() if name in t}
        found[_PREFIX + name] = msgspec.msgpack.encode(_Part(use, granted, taken))
    return found


class PartWriter:
    """Tells which parts of this member's row have changed.

    Examples
    --------
    >>> writer = PartWriter()
    >>> [sorted(writer.changed(CreditRow(use={"u": Use(held=1)}))) for _ in range(2)]
    [['credits', 'credits:u'], []]
    """

    def __init__(self) -> None:
        self._written: dict[str, bytes] = {}

    def changed(self, row: CreditRow) -> dict[str, bytes]:
        """Return the parts to publish, also for upstreams that are gone."""
        parts = split(row)
        gone = msgspec.msgpack.encode(_Part())
        parts |= dict.fromkeys(self._written.keys() - parts.keys(), gone)
        found = {t: p for t, p in parts.items() if self._written.get(t) != p}
        self._written |= found
        return found


class PartReader:
    """Puts the rows of peers together from their parts.

    Parameters
    ----------
    name : str
        The reading member; counters between two others are left out.

    Examples
    --------
    >>> reader = PartReader("two")
    >>> for topic, payload in split(CreditRow(use={"u": Use(held=2)})).items():
    ...     reader.take("one", 7, topic, payload)
    >>> reader.row("one")
    PeerCredits(incarnation=7, row=CreditRow(use={'u': Use(wanted=0, held=2,\
 running=0, urgent=0)}, granted={}, taken={}, view=0, known={}))
    """

    def __init__(self, name: str) -> None:
        self._mine = f"{name}#"
        self._peers: dict[str, tuple[int, dict[str, _Head | _Part]]] = {}

    def take(self, origin: str, incarnation: int, topic: str, payload: bytes) -> None:
        """Take in one part; msgspec.DecodeError for a malformed one."""
        decoder = _heads if topic == TOPIC else _parts
        part = decoder.decode(payload)
        if isinstance(part, _Part):
            part = _Part(part.use, self._for_me(part.granted), self._for_me(part.taken))
        known = self._peers.get(origin)
        if known is None or incarnation > known[0]:
            known = self._peers[origin] = (incarnation, {})
        if incarnation == known[0]:
            known[1][topic] = part

    def _for_me(self, counters: Mapping[str, _T]) -> dict[str, _T]:
        return {a: c for a, c in counters.items() if a.startswith(self._mine)}

    def forget(self, keep: Container[str]) -> None:
        """Drop the parts of peers that are not kept."""
        self._peers = {n: p for n, p in self._peers.items() if n in keep}

    def row(self, origin: str) -> PeerCredits | None:
        """Return a peer's row as known so far, once its head is there."""
        incarnation, parts = self._peers.get(origin, (0, {}))
        head = parts.get(TOPIC)
        if not isinstance(head, _Head):
            return None
        use: dict[str, Use] = {}
        granted: dict[str, dict[str, int]] = {}
        taken: dict[str, dict[str, Taken]] = {}
        for topic, part in parts.items():
            if not isinstance(part, _Part) or part.use is None:
                continue
            name = topic.removeprefix(_PREFIX)
            use[name] = part.use
            for address, count in part.granted.items():
                granted.setdefault(address, {})[name] = count
            for address, counts in part.taken.items():
                taken.setdefault(address, {})[name] = counts
        row = CreditRow(use, granted, taken, head.view, head.known)
        return PeerCredits(incarnation, row)

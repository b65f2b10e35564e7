"""Upstreams that are shutting down, as known before the own list of hosts tells it.

The list of hosts lags or may be unreadable, so an announcement in a response is usually
the first sign.  The key-value service may also refuse some routers while it serves the
others.  What a router learns in either way is therefore published to its peers, so
that they stop sending requests there as well.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable
from typing import Annotated

import msgspec

from shallotpoint.blackboard import Blackboard
from shallotpoint.controllers.sections import Departure, DeparturesSection
from shallotpoint.coordination.gossip import Board
from shallotpoint.types import Clock, Revision, Seconds

DEPARTURES_TOPIC = "departures"
RETENTION_S = 600.0  # much longer than an upstream takes to shut down
MAX_DEPARTURES = 500  # keeps the gossip row within one message

_log = logging.getLogger("shallotpoint.router")


class _WireDeparture(msgspec.Struct, frozen=True, array_like=True):
    """A departure in a gossip row.

    The row carries its age, as the clocks of two routers cannot be compared.
    """

    upstream: str
    started_ms: int
    age_s: Annotated[Seconds, msgspec.Meta(ge=0)]
    revision: Annotated[Revision, msgspec.Meta(ge=0)] = 0


_decoder = msgspec.msgpack.Decoder(list[_WireDeparture])


class DepartureController:
    """Owns :class:`DeparturesSection`; publishes departures announced to this router.

    Parameters
    ----------
    notify_peers : Callable
        Called when there is a new departure that peers should learn of soon.
    """

    def __init__(
        self,
        board: Blackboard,
        gossip: Board,
        *,
        clock: Clock,
        notify_peers: Callable[[], None],
    ):
        self._board = board
        self._gossip = gossip
        self._clock = clock
        self._notify_peers = notify_peers
        self._write = board.claim(DeparturesSection, "departures")
        self._own_departures: list[Departure] = []

    def record_departure(self, upstream: str, started_ms: int) -> None:
        """Record and publish a departure announced in a response to this router.

        Parameters
        ----------
        started_ms : int
            Start of the incarnation that sent the response.
        """
        self._record_own([(upstream, started_ms)])

    def record_listed(
        self, departed: Iterable[tuple[str, int]], revision: Revision
    ) -> None:
        """Record and publish upstreams that the key-value service lists as departed.

        Parameters
        ----------
        departed : iterable of tuple
            Name and start of each incarnation that is listed as leaving, or that is no
            longer listed.
        revision : int
            Revision of that list.
        """
        self._record_own(departed, revision)

    def _record_own(
        self, departed: Iterable[tuple[str, int]], revision: Revision = 0
    ) -> None:
        """Record departures seen by this router now, and publish those not known."""
        now, source = self._clock(), self._gossip.name
        added = self._record(
            Departure(upstream, started_ms, source, now, revision)
            for upstream, started_ms in departed
        )
        if not added:
            return
        recent = [
            d for d in self._own_departures if now - d.received_at_s < RETENTION_S
        ]
        self._own_departures = [*recent, *added][-MAX_DEPARTURES:]
        wire = [
            _WireDeparture(d.upstream, d.started_ms, now - d.received_at_s, d.revision)
            for d in self._own_departures
        ]
        self._gossip.publish(DEPARTURES_TOPIC, msgspec.msgpack.encode(wire), now=now)
        self._notify_peers()

    def merge_row(self, origin: str, payload: bytes) -> None:
        """Record the departures that a peer has published in a gossip row.

        Raises
        ------
        msgspec.DecodeError
            The row is malformed.
        """
        now = self._clock()
        self._record(
            Departure(
                wire.upstream,
                wire.started_ms,
                origin,
                now - wire.age_s,
                wire.revision,
            )
            for wire in _decoder.decode(payload)
        )

    def _record(self, departures: Iterable[Departure]) -> list[Departure]:
        """Store departures on the blackboard; return those that were unknown.

        They are stored at once, as each change of the section makes all schedulers
        take over their upstreams anew.
        """
        now = self._clock()
        known = self._board.get(DeparturesSection).departures
        added: dict[str, Departure] = {}
        for departure in departures:
            last = added.get(departure.upstream) or known.get(departure.upstream)
            if last is None or _is_newer(departure, last):
                added[departure.upstream] = departure
        if not added:
            return []
        recent = {n: d for n, d in known.items() if now - d.received_at_s < RETENTION_S}
        self._write(DeparturesSection(recent | added))
        for departure in added.values():
            _log.info(
                "upstream leaves",
                extra={
                    "upstream": departure.upstream,
                    "started_ms": departure.started_ms,
                    "source": departure.source,
                    "age_s": round(now - departure.received_at_s, 3),
                },
            )
        return list(added.values())


def _is_newer(departure: Departure, known: Departure) -> bool:
    """Return whether a departure says more than the one that is known.

    An announcement of an incarnation holds for good, so no list adds to it.
    """
    if departure.started_ms != known.started_ms:
        return departure.started_ms > known.started_ms
    if not known.revision or not departure.revision:
        return bool(known.revision) and not departure.revision
    return departure.revision > known.revision

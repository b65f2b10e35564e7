"""Upstreams that announced in a response that they are shutting down.

The list of hosts lags or may be unreadable, so this announcement is usually the first
sign.  It is published to peers, so that they stop sending requests there as well.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Annotated

import msgspec

from shallotpoint.blackboard import Blackboard
from shallotpoint.controllers.sections import Departure, DeparturesSection
from shallotpoint.coordination.gossip import Board
from shallotpoint.types import Clock, Seconds

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
        now = self._clock()
        departure = Departure(upstream, started_ms, self._gossip.name, now)
        if not self._record(departure):
            return
        recent = [
            d for d in self._own_departures if now - d.received_at_s < RETENTION_S
        ][1 - MAX_DEPARTURES :]
        self._own_departures = [*recent, departure]
        wire = [
            _WireDeparture(d.upstream, d.started_ms, now - d.received_at_s)
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
        for wire in _decoder.decode(payload):
            received_s = now - wire.age_s
            self._record(Departure(wire.upstream, wire.started_ms, origin, received_s))

    def _record(self, departure: Departure) -> bool:
        """Store a departure on the blackboard; return whether it was unknown."""
        now = self._clock()
        departures = self._board.get(DeparturesSection).departures
        known = departures.get(departure.upstream)
        if known is not None and known.started_ms >= departure.started_ms:
            return False
        recent = {
            n: d for n, d in departures.items() if now - d.received_at_s < RETENTION_S
        }
        recent[departure.upstream] = departure
        self._write(DeparturesSection(recent))
        _log.info(
            "upstream leaves",
            extra={
                "upstream": departure.upstream,
                "started_ms": departure.started_ms,
                "source": departure.source,
                "age_s": round(now - departure.received_at_s, 3),
            },
        )
        return True

"""Exchanges with other routers the load that each of them has on the upstreams.

Loads are summed along a tree of routers.  They are only hints: an upstream that is
full rejects requests itself, so a late or lost sum costs a rejected request and cannot
overload an upstream.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from typing import Annotated

import msgspec

from shallotpoint.blackboard import Blackboard
from shallotpoint.controllers.pools import PoolsController
from shallotpoint.controllers.sections import (
    CreditsSection,
    HostsSection,
    credit_key,
)
from shallotpoint.policy.engine_load import PeerLoad
from shallotpoint.policy.load_sums import From, Loads, LoadSums, add
from shallotpoint.policy.route_placement import EnginePlacement
from shallotpoint.types import Clock

APPLY_INTERVAL_S = 0.1  # less than an engine needs to process one long prompt

_NonNegativeInt = Annotated[int, msgspec.Meta(ge=0)]
_log = logging.getLogger("shallotpoint.router")


class _WireLoad(msgspec.Struct, frozen=True, array_like=True):
    """The load on one upstream, with the figures of :class:`PeerLoad`.

    Attributes
    ----------
    running : int
        Requests sent and not ended.
    reading_tokens : int
        Prompt tokens that the upstream has yet to process.
    tight : int
        Running streams that must not pause for long.
    """

    upstream: str
    running: _NonNegativeInt
    reading_tokens: _NonNegativeInt
    tight: _NonNegativeInt = 0


class _WireLoads(msgspec.Struct, frozen=True, array_like=True):
    """A message with the summed loads on upstreams.

    Attributes
    ----------
    sender_position : From
        Position of the sender in the tree of routers, as seen by the receiver.
    pools : dict
        Loads by pool.
    """

    sender_position: From
    pools: dict[str, list[_WireLoad]]


_decoder = msgspec.msgpack.Decoder(_WireLoads)


class LoadController:
    """Owns :class:`CreditsSection`; exchanges loads with its neighbours in the tree.

    Used by :mod:`shallotpoint.daemons.route_router`.

    Parameters
    ----------
    parent : Callable
        Returns this router's parent in the tree of routers, None for a root.
    data_centre : str
        Data centre of this router; its children must be in the same one.
    """

    def __init__(
        self,
        board: Blackboard,
        pools: PoolsController,
        *,
        clock: Clock,
        parent: Callable[[], str | None],
        data_centre: str,
    ):
        self._board = board
        self._pools = pools
        self._clock = clock
        self._parent = parent
        self._data_centre = data_centre
        self._write = board.claim(CreditsSection, "load")
        self._sums = LoadSums()

    async def run(self) -> None:
        """Apply the received loads periodically, until cancelled."""
        while True:
            await asyncio.sleep(APPLY_INTERVAL_S)
            self._take_over()

    # Messages, transported by Peers

    def ask(self, name: str) -> bytes:
        """Return the message to send to a router: the load of this subtree."""
        position = From.CHILD if name == self._parent() else From.ROOT
        return _encode(position, self._sums.gathered(self._own_loads(), self._clock()))

    def answer(self, sender: str, raw: bytes) -> bytes:
        """Store the sum in a router's message and return the response to it.

        A child gets the sum of all other routers, any other router the sum of this
        subtree.

        Raises
        ------
        msgspec.DecodeError
            The message is malformed.
        """
        message = _decoder.decode(raw)
        now = self._clock()
        if message.sender_position is not From.CHILD:
            self._sums.hear(
                sender, message.sender_position, _loads_by_key(message), now
            )
            return _encode(From.ROOT, self._sums.gathered(self._own_loads(), now))
        host = self._board.get(HostsSection).routers().get(sender)
        if host is not None and host.data_centre != self._data_centre:
            _log.warning("sum of another data centre dropped", extra={"peer": sender})
            return b""
        self._sums.hear(sender, From.CHILD, _loads_by_key(message), now)
        others = self._sums.elsewhere(now, but=sender)
        return _encode(From.PARENT, add([self._own_loads(), others]))

    def take(self, name: str, raw: bytes) -> None:
        """Store the sum in a router's response to :meth:`ask`.

        Raises
        ------
        msgspec.DecodeError
            The response is malformed.
        """
        message = _decoder.decode(raw)
        self._sums.hear(
            name, message.sender_position, _loads_by_key(message), self._clock()
        )

    def _own_loads(self) -> Loads:
        """Return the load that this router itself has on each upstream."""
        loads = {}
        now = self._clock()
        for runner in self._pools.runners():
            placement = runner.scheduler.placement
            for name, slots in runner.scheduler.upstreams.items():
                load = PeerLoad(0, len(slots.running))
                if isinstance(placement, EnginePlacement):
                    load = placement.load(name).own(now)
                if load.running or load.reading_tokens:
                    loads[runner.pool.name, name] = load
        return loads

    def _take_over(self) -> None:
        """Pass the load of other routers to the blackboard and the schedulers."""
        loads = self._sums.elsewhere(self._clock())
        running = {credit_key(*key): load.running for key, load in loads.items()}
        self._write(CreditsSection(elsewhere=running))
        for runner in self._pools.runners():
            placement = runner.scheduler.placement
            if isinstance(placement, EnginePlacement):
                no_load = PeerLoad()
                placement.hear(
                    {
                        name: loads.get((runner.pool.name, name), no_load)
                        for name in runner.scheduler.upstreams
                    }
                )


def _encode(position: From, loads: Loads) -> bytes:
    """Return a message with loads."""
    pools: dict[str, list[_WireLoad]] = {}
    for (pool, upstream), load in loads.items():
        wire = _WireLoad(upstream, load.running, load.reading_tokens, load.tight)
        pools.setdefault(pool, []).append(wire)
    return msgspec.msgpack.encode(_WireLoads(position, pools))


def _loads_by_key(message: _WireLoads) -> Loads:
    """Return the loads in a message."""
    return {
        (pool, load.upstream): PeerLoad(load.reading_tokens, load.running, load.tight)
        for pool, loads in message.pools.items()
        for load in loads
    }

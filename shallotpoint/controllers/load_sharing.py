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
from shallotpoint.policy.engine_load import UpstreamLoad
from shallotpoint.policy.load_sums import Loads, LoadSums, SenderPosition, sum_loads
from shallotpoint.policy.route_placement import EnginePlacement
from shallotpoint.types import Clock, Seconds

MAX_TIERS = 256  # accepted in a message
APPLY_INTERVAL_S = 0.1  # less than an engine needs to process one long prompt

_NonNegativeInt = Annotated[int, msgspec.Meta(ge=0)]
_CountsByTier = Annotated[
    tuple[_NonNegativeInt, ...], msgspec.Meta(max_length=MAX_TIERS)
]
_log = logging.getLogger("shallotpoint.router")


class _WireLoad(msgspec.Struct, frozen=True, array_like=True):
    """The load on one upstream, with the figures of :class:`UpstreamLoad`.

    Attributes
    ----------
    running : int
        Requests sent and not ended.
    pending_prefill_tokens : int
        Prompt tokens that the upstream has yet to process.
    strict_streams : int
        Running streams that must not pause for long.
    unstarted_by_tier : tuple of int
        Requests that have not started; the index is the tier.
    """

    upstream: str
    running: _NonNegativeInt
    pending_prefill_tokens: _NonNegativeInt
    strict_streams: _NonNegativeInt = 0
    unstarted_by_tier: _CountsByTier = ()


class _WireLoads(msgspec.Struct, frozen=True, array_like=True):
    """A message with the summed loads on upstreams.

    Attributes
    ----------
    sender_position : SenderPosition
        Position of the sender in the tree of routers, as seen by the receiver.
    pools : dict
        Loads by pool.
    """

    sender_position: SenderPosition
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
            self._apply_loads()

    def is_current(self) -> bool:
        """Return whether other routers' loads were received lately."""
        return self.oldest_age_s(self._clock()) is not None

    def oldest_age_s(self, now: Seconds) -> Seconds | None:
        """Return the age of the oldest load in use, in seconds; None without any."""
        return self._sums.oldest_age_s(now)

    # Messages, transported by Peers

    def make_request(self, name: str) -> bytes:
        """Return the message to send to a router: the load of this subtree."""
        position = (
            SenderPosition.CHILD if name == self._parent() else SenderPosition.ROOT
        )
        return _encode(
            position, self._sums.subtree_load(self._own_loads(), self._clock())
        )

    def handle_request(self, sender: str, raw: bytes) -> bytes:
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
        if message.sender_position is not SenderPosition.CHILD:
            self._sums.record_sum(
                sender, message.sender_position, _loads_by_key(message), now
            )
            return _encode(
                SenderPosition.ROOT, self._sums.subtree_load(self._own_loads(), now)
            )
        host = self._board.get(HostsSection).routers().get(sender)
        if host is not None and host.data_centre != self._data_centre:
            _log.warning("sum of another data centre dropped", extra={"peer": sender})
            return b""
        self._sums.record_sum(sender, SenderPosition.CHILD, _loads_by_key(message), now)
        others = self._sums.load_elsewhere(now, excluded_sender=sender)
        return _encode(SenderPosition.PARENT, sum_loads([self._own_loads(), others]))

    def handle_response(self, name: str, raw: bytes) -> None:
        """Store the sum in a router's response to :meth:`make_request`.

        Raises
        ------
        msgspec.DecodeError
            The response is malformed.
        """
        message = _decoder.decode(raw)
        self._sums.record_sum(
            name, message.sender_position, _loads_by_key(message), self._clock()
        )

    def _own_loads(self) -> Loads:
        """Return the load that this router itself has on each upstream."""
        loads = {}
        now = self._clock()
        for runner in self._pools.runners():
            placement = runner.scheduler.placement
            for name, slots in runner.scheduler.upstreams.items():
                load = UpstreamLoad(0, len(slots.running))
                if isinstance(placement, EnginePlacement):
                    load = placement.load_of(name).local_load(now)
                if load.running or load.pending_prefill_tokens:
                    loads[runner.pool.name, name] = load
        return loads

    def _apply_loads(self) -> None:
        """Pass the load of other routers to the blackboard and the schedulers."""
        loads = self._sums.load_elsewhere(self._clock())
        running = {credit_key(*key): load.running for key, load in loads.items()}
        self._write(CreditsSection(running_elsewhere=running))
        for runner in self._pools.runners():
            placement = runner.scheduler.placement
            if isinstance(placement, EnginePlacement):
                no_load = UpstreamLoad()
                placement.set_peer_loads(
                    {
                        name: loads.get((runner.pool.name, name), no_load)
                        for name in runner.scheduler.upstreams
                    }
                )


def _encode(position: SenderPosition, loads: Loads) -> bytes:
    """Return a message with loads."""
    pools: dict[str, list[_WireLoad]] = {}
    for (pool, upstream), load in loads.items():
        wire = _WireLoad(
            upstream,
            load.running,
            load.pending_prefill_tokens,
            load.strict_streams,
            load.unstarted_by_tier[:MAX_TIERS],
        )
        pools.setdefault(pool, []).append(wire)
    return msgspec.msgpack.encode(_WireLoads(position, pools))


def _loads_by_key(message: _WireLoads) -> Loads:
    """Return the loads in a message."""
    return {
        (pool, load.upstream): UpstreamLoad(
            load.pending_prefill_tokens,
            load.running,
            load.strict_streams,
            load.unstarted_by_tier,
        )
        for pool, loads in message.pools.items()
        for load in loads
    }

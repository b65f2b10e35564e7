"""Sends operators' orders to engines, from one router at a time.

An order changes an engine's role, or loads or unloads a model on it.  The router that
holds the lease compares the orders with each engine's state and repeats an order until
the state reflects it.  Engines that check fencing tokens reject a late order of an
earlier holder.  For those that do not, an order is sent only if it is sure to end
within the lease, and a new holder first waits for the maximum duration of an order
that its predecessor may still have in flight.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Mapping
from dataclasses import dataclass

from shallotpoint.blackboard import Blackboard
from shallotpoint.controllers.pools import PoolsController
from shallotpoint.controllers.sections import ConfigSection
from shallotpoint.coordination.kv import KeyValueError
from shallotpoint.coordination.lease import LeaseHolder, LeaseLost
from shallotpoint.policy.configuration import UpstreamOrder
from shallotpoint.types import Clock, JSONObject, Seconds
from shallotpoint.upstreams.client import UpstreamClient, UpstreamFailure

ORDER_TIMEOUT_S = 2.0
READ_TIMEOUT_S = 1.0
STEP_INTERVAL_S = 1.0
LOADS_PER_MINUTE = 30  # limit of the model weight store for all engines together
ORDERS_PATH = "/orders"
_log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class OrderState:
    """Progress of one order.

    Attributes
    ----------
    status : str
        ``waiting``, ``sent``, ``done`` or ``refused``.
    tries : int
        Number of times that the order was sent.
    fence : int
        Fencing token with which it was last sent.
    """

    order: UpstreamOrder
    status: str = "waiting"
    tries: int = 0
    fence: int = 0


def is_done(order: UpstreamOrder, engine_state: Mapping) -> bool:
    """Return whether an engine's reported state already matches an order."""
    loaded = engine_state.get("loaded", {})
    if order.kind == "role":
        return engine_state.get("role") == order.value
    if order.kind == "unload":
        return order.model not in loaded
    return loaded.get(order.model) == (order.value or "base")


class LoadRateLimiter:
    """Limits the rate of model loads by a minimum interval between them.

    Parameters
    ----------
    per_minute : int
        Maximum number of loads per minute.
    """

    def __init__(self, per_minute: int):
        self._min_interval_s = 60.0 / per_minute
        self._next_load_s: Seconds = 0.0

    def try_acquire(self, now: Seconds) -> bool:
        """Return whether a load may start now, and count it if so."""
        if now < self._next_load_s:
            return False
        self._next_load_s = now + self._min_interval_s
        return True


class OrdersController:
    """Sends orders to engines while this router holds the lease."""

    def __init__(
        self,
        board: Blackboard,
        pools: PoolsController,
        client: UpstreamClient,
        lease: LeaseHolder,
        *,
        clock: Clock,
    ):
        self._board = board
        self._pools = pools
        self._client = client
        self._lease = lease
        self._clock = clock
        self._load_limiter = LoadRateLimiter(LOADS_PER_MINUTE)
        self._states: dict[str, OrderState] = {}
        self._earliest_order_s: Seconds = 0.0

    def rows(self) -> list[JSONObject]:
        """Return the state of all orders; empty if this router does not send them."""
        if self._lease.held is None:
            return []
        return [
            {
                "name": state.order.name,
                "upstream": state.order.upstream,
                "kind": state.order.kind,
                "model": state.order.model,
                "value": state.order.value,
                "status": state.status,
                "tries": state.tries,
                "fence": state.fence,
            }
            for state in self._states.values()
        ]

    async def run(self) -> None:
        """Acquire the lease when it is free and send orders, until cancelled."""
        while True:
            try:
                await self.step()
            except KeyValueError as exc:
                _log.warning("cannot acquire the lease to send orders: %s", exc)
            await asyncio.sleep(STEP_INTERVAL_S)

    async def step(self) -> None:
        """Acquire or renew the lease, then process each order once."""
        orders = self._board.get(ConfigSection).config.orders
        if not orders:
            if self._lease.held is not None:
                await self._lease.release()
            return
        if self._lease.held is not None:
            await self._lease.renew()
        elif await self._lease.acquire() is not None:
            # A paused previous holder may still have an order in flight.
            self._earliest_order_s = self._clock() + ORDER_TIMEOUT_S
        if self._lease.held is None or self._clock() < self._earliest_order_s:
            return
        self._states = {
            name: self._states.get(name) or OrderState(order)
            for name, order in orders.items()
        }
        for name, order in orders.items():
            try:
                self._states[name] = await self._process_order(name, order)
            except LeaseLost:
                return

    async def _process_order(self, name: str, order: UpstreamOrder) -> OrderState:
        """Send an order unless the engine already matches it; return its state."""
        state = self._states[name]
        address = self._pools.address_of(order.upstream)
        try:
            engine_state = await self._client.get_json(
                address, ORDERS_PATH, timeout_s=READ_TIMEOUT_S
            )
        except UpstreamFailure:
            return OrderState(order, "waiting", state.tries, state.fence)
        if is_done(order, engine_state):
            return OrderState(order, "done", state.tries, state.fence)
        if order.kind == "load" and not self._load_limiter.try_acquire(self._clock()):
            return OrderState(order, "waiting", state.tries, state.fence)
        return await self._send(address, order, state)

    async def _send(
        self, address: str, order: UpstreamOrder, state: OrderState
    ) -> OrderState:
        """Send an order under the lease; LeaseLost if it might not end in time."""
        with self._lease.while_held(duration_s=ORDER_TIMEOUT_S) as fence:
            body = {
                "kind": order.kind,
                "model": order.model,
                "value": order.value,
                "fence": fence,
            }
            try:
                status, _ = await self._client.post_json(
                    address, ORDERS_PATH, body, timeout_s=ORDER_TIMEOUT_S
                )
            except UpstreamFailure:
                return OrderState(order, "sent", state.tries + 1, fence)
        _log.info("order sent", extra={"order": order.name, "status": status})
        order_status = "refused" if status == 409 else "sent"
        return OrderState(order, order_status, state.tries + 1, fence)

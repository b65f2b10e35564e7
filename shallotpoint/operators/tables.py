"""The rows that ``show`` lists: built in each router, merged by the one asked."""

from __future__ import annotations

import operator
import time
from collections.abc import Callable, Iterable, Iterator, Mapping
from dataclasses import asdict
from typing import Any

from shallotpoint.blackboard import Blackboard
from shallotpoint.controllers.journal import Journal
from shallotpoint.controllers.pools import PoolsController
from shallotpoint.controllers.sections import (
    ConfigSection,
    CreditsSection,
    HostsSection,
    StopSection,
    credit_key,
)
from shallotpoint.errors import OperatorError
from shallotpoint.operators.commands import Condition, Show, read_duration_s
from shallotpoint.policy.ticket import AdmittedRequest
from shallotpoint.results import Result
from shallotpoint.types import JSONObject, Seconds

CONFIG_TABLES = frozenset({"classes", "exceptions", "pools", "organisations"})
_DEFAULT_LAST_S = 300.0
_COMPARES: Mapping[str, Callable[[Any, Any], bool]] = {
    "=": operator.eq,
    "!=": operator.ne,
    "<": operator.lt,
    ">": operator.gt,
    "<=": operator.le,
    ">=": operator.ge,
}


class LocalTables:
    """Builds the rows that this router knows."""

    def __init__(
        self,
        board: Blackboard,
        pools: PoolsController,
        journal: Journal,
        *,
        name: str,
        data_centre: str,
        ready: Callable[[], bool],
        orders: Callable[[], list[JSONObject]],
    ):
        self._board = board
        self._pools = pools
        self._journal = journal
        self._name = name
        self._data_centre = data_centre
        self._ready = ready
        self._orders = orders

    def rows(self, table: str, *, last_s: Seconds | None) -> list[JSONObject]:
        """Return the rows of one table."""
        if table in CONFIG_TABLES:
            return self._config_rows(table)
        if table == "refused":
            since_s = time.time() - (last_s or _DEFAULT_LAST_S)
            return self._tagged(self._journal.refusals(since_s=since_s))
        builders = {
            "running": self._running,
            "waiting": self._waiting,
            "upstreams": self._upstreams,
            "routers": self._routers,
            "version": self._routers,
            "orders": self._orders,
        }
        return self._tagged(builders[table]())

    def explain(self, request: str) -> list[JSONObject]:
        """Return the course of a request, empty when it is not known here."""
        return self._journal.explain(request)

    def _tagged(self, rows: Iterable[JSONObject]) -> list[JSONObject]:
        return [{**row, "router": self._name} for row in rows]

    def _config_rows(self, table: str) -> list[JSONObject]:
        config = self._board.get(ConfigSection).config
        rows = []
        for name, item in sorted(getattr(config, table).items()):
            row = {"name": name, **asdict(item)}
            row.pop("key_hash", None)
            if table == "exceptions":
                row["overrides"] = dict(item.overrides)
            rows.append(row)
        return rows

    def _requests(self) -> Iterator[tuple[JSONObject, AdmittedRequest]]:
        """Yield each request that waits or runs, with the columns it always has."""
        now = time.monotonic()
        for runner in self._pools.runners():
            for request in list(runner.scheduler.requests.values()):
                ticket = request.ticket
                row = {
                    "request": ticket.id,
                    "organisation": ticket.organisation,
                    "class": ticket.service_class.name,
                    "pool": runner.pool.name,
                    "age": round(now - ticket.arrived_s, 3),
                }
                yield row, request

    def _running(self) -> list[JSONObject]:
        return [
            {**row, "upstream": attempt.upstream, "tokens": attempt.tokens}
            for row, request in self._requests()
            for attempt in request.attempts
        ]

    def _waiting(self) -> list[JSONObject]:
        return [row for row, request in self._requests() if not request.attempts]

    def _upstreams(self) -> list[JSONObject]:
        config = self._board.get(ConfigSection).config
        hosts = self._board.get(HostsSection)
        credits = self._board.get(CreditsSection)
        rows = []
        for runner in self._pools.runners():
            scheduler = runner.scheduler
            for name, slots in scheduler.upstreams.items():
                health = scheduler.health[name]
                host = hosts.find(name)
                leaving = hosts.is_leaving(name)
                drained = name in config.drained
                state = "leaving" if leaving else "drained" if drained else "live"
                key = credit_key(runner.pool.name, name)
                rows.append(
                    {
                        "name": name,
                        "pool": runner.pool.name,
                        "address": host.address if host else name,
                        "data_centre": host.data_centre if host else None,
                        "state": state,
                        "verdict": str(health.verdict),
                        "running": len(slots.running),
                        "credits": credits.held.get(key, 0),
                        "ttft": round(health.ttft_s, 4),
                        "tbt": round(health.tbt_s, 4),
                    }
                )
        return rows

    def _routers(self) -> list[JSONObject]:
        return [
            {
                "name": self._name,
                "data_centre": self._data_centre,
                "ready": self._ready(),
                "stopping": self._board.get(StopSection).stopping,
                "version": self._board.get(ConfigSection).state.version,
                "in_flight": self._pools.in_flight,
            }
        ]


def merge_orders(
    stored: Iterable[JSONObject], rows: Iterable[JSONObject]
) -> list[JSONObject]:
    """Return all stored orders with the state that their router tells."""
    known = {row["name"]: row for row in rows}
    return [known.get(row["name"]) or {**row, "status": "waiting"} for row in stored]


def merge_upstreams(rows: Iterable[JSONObject]) -> list[JSONObject]:
    """Return one row per upstream from the rows of all routers."""
    merged: dict[tuple[str, str], JSONObject] = {}
    for row in rows:
        key = (row["pool"], row["name"])
        known = merged.get(key)
        if known is None:
            merged[key] = {**row, "routers": 1}
            merged[key].pop("router", None)
            continue
        known["running"] += row["running"]
        known["credits"] += row["credits"]
        known["routers"] += 1
        if row["verdict"] != "good":
            known["verdict"] = row["verdict"]
        for field in ("ttft", "tbt"):
            known[field] = max(known[field], row[field])
    return list(merged.values())


def select(rows: list[JSONObject], show: Show) -> list[JSONObject]:
    """Apply ``where`` and ``by`` to rows.

    Raises
    ------
    OperatorError
        With ``INVALID_CHANGE`` for a column that the table lacks.
    """
    for condition in show.where:
        _check_column(rows, condition.column)
        rows = [row for row in rows if _holds(row, condition)]
    if show.by is None:
        return rows
    _check_column(rows, show.by)
    groups: dict[Any, JSONObject] = {}
    for row in rows:
        value = row.get(show.by)
        group = groups.setdefault(str(value), {show.by: value, "count": 0})
        group["count"] += 1
    return sorted(groups.values(), key=lambda group: -group["count"])


def _check_column(rows: list[JSONObject], column: str) -> None:
    if rows and not any(column in row for row in rows):
        allowed = ", ".join(sorted(rows[0]))
        raise OperatorError(
            Result.INVALID_CHANGE, f"no column {column!r}; use {allowed}"
        )


def _holds(row: JSONObject, condition: Condition) -> bool:
    value = row.get(condition.column)
    wanted: Any = condition.value
    if isinstance(value, bool):
        wanted = wanted.lower() in ("yes", "true", "on")
    elif isinstance(value, int | float):
        try:
            wanted = float(wanted)
        except ValueError:
            try:
                wanted = read_duration_s(wanted)
            except ValueError:
                return False
    elif isinstance(value, list | tuple):
        if condition.compare in ("=", "!="):
            return (wanted in value) == (condition.compare == "=")
        return False
    elif value is None:
        return condition.compare == "!=" or wanted == "none"
    else:
        value = str(value)
    return _COMPARES[condition.compare](value, wanted)

"""Carries out operators' commands."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Mapping
from dataclasses import asdict, dataclass, field
from functools import singledispatchmethod
from typing import Any

import msgspec

from shallotpoint.blackboard import Blackboard
from shallotpoint.controllers.config import ConfigController
from shallotpoint.controllers.sections import ConfigSection, HostsSection
from shallotpoint.coordination.cas import ChangeOutcomeUnknown, ValueTooLarge
from shallotpoint.coordination.config import (
    ConfigConflict,
    ConfigState,
    ConfigStore,
    Edit,
    Section,
)
from shallotpoint.coordination.kv import KeyValueError
from shallotpoint.coordination.peers import Peers
from shallotpoint.errors import OperatorError
from shallotpoint.operators.commands import (
    Command,
    Drain,
    Drop,
    Explain,
    Order,
    Set,
    Show,
    parse,
)
from shallotpoint.operators.fields import read_assignments
from shallotpoint.operators.tables import (
    CONFIG_TABLES,
    LocalTables,
    merge_orders,
    merge_upstreams,
    select,
)
from shallotpoint.policy import configuration
from shallotpoint.policy.configuration import InvalidConfig, read_config, section_name
from shallotpoint.results import Result, status_name
from shallotpoint.types import JSONObject, Seconds

CHANGE_TIMEOUT_S = 10.0
_log = logging.getLogger("shallotpoint.operators")
_KINDS = {
    "class": configuration.CLASSES,
    "pool": configuration.POOLS,
    "exception": configuration.EXCEPTIONS,
    "organisation": configuration.ORGANISATIONS,
}


@dataclass(frozen=True, slots=True)
class Operator:
    """Who gives a command, and whether changes are permitted."""

    name: str
    may_change: bool


@dataclass(frozen=True, slots=True)
class Reply:
    """The answer to one command."""

    result: Result = Result.OK
    message: str = ""
    rows: list[JSONObject] | None = None
    version: int | None = None
    answered: int = 1
    asked: int = 1

    def to_json(self) -> JSONObject:
        """Return the JSON form of the contract."""
        body: JSONObject = {
            "result": int(self.result),
            "status": status_name(self.result),
            "answered": self.answered,
            "asked": self.asked,
        }
        for name in ("message", "rows", "version"):
            value = getattr(self, name)
            if value not in (None, ""):
                body[name] = value
        return body


class PeerQuery(msgspec.Struct, frozen=True, array_like=True):
    """A question among routers: the rows of a table, or one request's course."""

    table: str
    last_s: Seconds | None = None
    request: str | None = None


@dataclass(frozen=True, slots=True)
class _Gathered:
    rows: list[JSONObject] = field(default_factory=list)
    answered: int = 1
    asked: int = 1


class Desk:
    """Parses and carries out commands, asking all routers where needed."""

    def __init__(
        self,
        board: Blackboard,
        store: ConfigStore,
        config: ConfigController,
        tables: LocalTables,
        peers: Callable[[], Peers],
        *,
        name: str,
    ):
        self._board = board
        self._store = store
        self._config = config
        self._tables = tables
        self._peers = peers
        self._name = name

    async def run(self, text: str, operator: Operator) -> Reply:
        """Carry out a line of text."""
        try:
            command = parse(text)
            if not isinstance(command, Show | Explain) and not operator.may_change:
                raise OperatorError(
                    Result.NOT_PERMITTED, f"the role of {operator.name} is read"
                )
            reply = await self._run(command)
        except OperatorError as exc:
            reply = Reply(exc.result, str(exc), version=exc.version)
        if reply.version is not None or reply.result is not Result.OK:
            _log.info(
                "operator command",
                extra={
                    "operator": operator.name,
                    "command": _without_keys(text),
                    "result": status_name(reply.result),
                    "version": reply.version,
                },
            )
        return reply

    async def answer_peer(self, raw: bytes) -> bytes:
        """Answer another router's question."""
        query = msgspec.msgpack.decode(raw, type=PeerQuery)
        return msgspec.msgpack.encode(self._local_rows(query))

    # Commands

    @singledispatchmethod
    async def _run(self, command: Command) -> Reply:
        raise TypeError(f"no way to carry out {type(command).__name__}")

    @_run.register
    async def _(self, command: Show) -> Reply:
        if command.table in CONFIG_TABLES:
            rows = self._tables.rows(command.table, last_s=None)
            return Reply(rows=select(rows, command), version=None)
        found = await self._gather(PeerQuery(command.table, command.last_s))
        rows = found.rows
        if command.table == "upstreams":
            rows = merge_upstreams(rows)
        elif command.table == "orders":
            stored = self._board.get(ConfigSection).config.orders
            rows = merge_orders([asdict(o) for o in stored.values()], rows)
        return Reply(
            rows=select(rows, command), answered=found.answered, asked=found.asked
        )

    @_run.register
    async def _(self, command: Explain) -> Reply:
        found = await self._gather(PeerQuery("", request=command.request_id))
        if not found.rows:
            return Reply(
                Result.NOT_FOUND,
                f"no router remembers the request {command.request_id}",
                answered=found.answered,
                asked=found.asked,
            )
        return Reply(rows=found.rows, answered=found.answered, asked=found.asked)

    @_run.register
    async def _(self, command: Set) -> Reply:
        kind = _KINDS[command.kind]
        assignments = list(command.assignments)
        name = command.name
        if kind == configuration.EXCEPTIONS:
            name, assignments = _exception_name(name, assignments)
        fields = read_assignments(kind, assignments)
        if kind == configuration.POOLS and "kind" not in fields:
            fields |= self._default_pool_kind(name, fields)
        return await self._change(Edit(section_name(kind, name), name, fields))

    @_run.register
    async def _(self, command: Drop) -> Reply:
        kind = _KINDS[command.kind]
        known = getattr(self._board.get(ConfigSection).config, kind)
        names = [command.name]
        if kind == configuration.EXCEPTIONS and command.name not in known:
            names = [n for n in known if n.rpartition("/")[0] == command.name]
        if not names or names[0] not in known:
            raise OperatorError(
                Result.NOT_FOUND, f"no {command.kind} is called {command.name!r}"
            )
        for name in names:
            reply = await self._change(Edit(section_name(kind, name), name, None))
        return reply

    @_run.register
    async def _(self, command: Drain) -> Reply:
        config = self._board.get(ConfigSection).config
        known = {u for pool in config.pools.values() for u in pool.upstreams}
        name = command.upstream.removeprefix("http://").rstrip("/")
        host = self._board.get(HostsSection).find(name)
        if name not in known and host is not None:
            name = host.name if host.name in known else host.address
        if name not in known:
            raise OperatorError(Result.NOT_FOUND, f"no pool has the upstream {name!r}")
        fields: JSONObject | None = None if command.restore else {}
        return await self._change(Edit(configuration.DRAINS, name, fields))

    @_run.register
    async def _(self, command: Order) -> Reply:
        values = read_assignments(configuration.ORDERS, command.assignments)
        fields = _order_fields(command.upstream, values)
        target = fields["model"] or "role"
        name = f"{command.upstream}/{target}"
        reply = await self._change(Edit(configuration.ORDERS, name, fields))
        return Reply(Result.ORDER_PENDING, version=reply.version)

    # Changes

    async def _change(self, edit: Edit) -> Reply:
        seen = self._config.state
        try:
            async with asyncio.timeout(CHANGE_TIMEOUT_S):
                section = await self._store.change(
                    edit, seen, validate=lambda new: self._validate(edit, new)
                )
        except ConfigConflict as exc:
            await self._catch_up()
            raise OperatorError(
                Result.CONFLICT, str(exc), version=exc.version
            ) from None
        except (ChangeOutcomeUnknown, TimeoutError) as exc:
            raise OperatorError(Result.CHANGE_UNKNOWN, str(exc)) from None
        except ValueTooLarge as exc:
            raise OperatorError(Result.INVALID_CHANGE, str(exc)) from None
        except KeyValueError as exc:
            raise OperatorError(Result.STORE_UNAVAILABLE, str(exc)) from None
        self._config.merge_sections([section])
        return Reply(Result.ACCEPTED, version=section.revision)

    def _validate(self, edit: Edit, section: Section) -> None:
        state = self._config.state
        items = {s.name: s.items for s in state.sections.values()}
        items[section.name] = section.items
        try:
            after = read_config(items, section.revision)
            configuration.validate(after)
        except (InvalidConfig, TypeError, ValueError) as exc:
            raise OperatorError(Result.INVALID_CHANGE, str(exc)) from None
        if edit.fields is None:
            self._check_still_used(edit, state)

    def _check_still_used(self, edit: Edit, state: ConfigState) -> None:
        if edit.section != configuration.CLASSES:
            return
        config = self._board.get(ConfigSection).config
        users = [
            o.name for o in config.organisations.values() if edit.item in o.classes
        ]
        if users:
            raise OperatorError(
                Result.INVALID_CHANGE,
                f"class {edit.item} is used by the organisation {users[0]}",
            )

    async def _catch_up(self) -> None:
        try:
            state = await self._store.load()
        except KeyValueError:
            return
        self._config.merge_sections(list(state.sections.values()))

    def _default_pool_kind(self, name: str, fields: Mapping[str, Any]) -> JSONObject:
        known = self._board.get(ConfigSection).config.pools.get(name)
        if known is not None or "models" in fields:
            return {}
        return {"kind": "service"}

    # Questions to all routers

    async def _gather(self, query: PeerQuery) -> _Gathered:
        routers = self._board.get(HostsSection).routers()
        others = {n: h.address for n, h in routers.items() if n != self._name}
        raw = msgspec.msgpack.encode(query)
        answers = await self._peers().query_all(others, raw)
        rows = list(self._local_rows(query))
        for body in answers.values():
            rows += msgspec.msgpack.decode(body)
        return _Gathered(rows, len(answers) + 1, len(others) + 1)

    def _local_rows(self, query: PeerQuery) -> list[JSONObject]:
        if query.request is not None:
            return self._tables.explain(query.request)
        return self._tables.rows(query.table, last_s=query.last_s)


def _exception_name(branch: str, assignments):
    classes = [value for name, value in assignments if name == "class"]
    if len(classes) != 1:
        raise OperatorError(
            Result.INVALID_CHANGE, "an exception names one class; add class=NAME"
        )
    rest = [(name, value) for name, value in assignments if name != "class"]
    return f"{branch}/{classes[0]}", rest


def _order_fields(upstream: str, values: Mapping[str, Any]) -> JSONObject:
    if "role" in values:
        return {
            "upstream": upstream,
            "kind": "role",
            "model": "",
            "value": values["role"],
        }
    for kind in ("load", "unload"):
        if kind in values:
            extra = values.get("adapter") or values.get("version") or ""
            return {
                "upstream": upstream,
                "kind": kind,
                "model": values[kind],
                "value": extra,
            }
    raise OperatorError(
        Result.INVALID_CHANGE, "say what to order: load=MODEL, unload=MODEL or role=R"
    )


def _without_keys(text: str) -> str:
    """Return a command without API keys, for the log."""
    words = ["key=***" if word.startswith("key=") else word for word in text.split(" ")]
    return " ".join(words)

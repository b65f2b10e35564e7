"""The ASGI application that serves chat completions and service calls."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from shallotpoint.blackboard import Blackboard
from shallotpoint.callers.access import Caller, KeyIndex, identify_caller
from shallotpoint.callers.chat import (
    ChatRun,
    decode_chat_request,
    fingerprint,
    prefix_hash,
)
from shallotpoint.callers.exchange import CallerGone, Exchange
from shallotpoint.callers.run import (
    ChatServices,
    RequestRun,
    record_request_end,
    recording_refusals,
)
from shallotpoint.callers.service_calls import (
    AtMostOnceRun,
    ServiceCall,
    ServiceRun,
    answer_repeated_call,
    record_call_intent,
)
from shallotpoint.controllers.pools import PoolRunner
from shallotpoint.controllers.sections import ConfigSection
from shallotpoint.coordination.ledger import OnceLedger, RecordedIntent, content_digest
from shallotpoint.errors import RequestError
from shallotpoint.policy.configuration import Config
from shallotpoint.policy.model import PoolKind
from shallotpoint.policy.ticket import Ticket
from shallotpoint.results import Result
from shallotpoint.settings import LimitSettings

IDEMPOTENCY_KEY_HEADER = "idempotency-key"
_SERVICES_PREFIX = "/services/"
_PLAIN_TEXT_TYPE = b"text/plain; charset=utf-8"


@dataclass(frozen=True, slots=True)
class CallersApp:
    """An ASGI application for callers.

    It uses no web framework, as each request would pay for the framework's overhead.

    Attributes
    ----------
    ledger : OnceLedger
        Records calls that carry an idempotency key.
    is_ready : Callable
        Returns whether the load balancer may send requests to this router.
    is_accepting : Callable
        Returns whether new requests are accepted; false while the router stops.
    key_index : KeyIndex
        Finds the organisation of an API key.
    next_request_id : Callable
        Returns a new request id.
    """

    board: Blackboard
    services: ChatServices
    ledger: OnceLedger
    limits: LimitSettings
    is_ready: Callable[[], bool]
    is_accepting: Callable[[], bool]
    key_index: KeyIndex
    next_request_id: Callable[[], str]

    async def __call__(self, scope, receive, send) -> None:
        """Serve one request; connections other than HTTP are ignored."""
        if scope["type"] != "http":
            return
        exchange = Exchange(scope, receive, send, self.next_request_id())
        try:
            await self._route(exchange, scope["method"], scope["path"])
        except RequestError as exc:
            await exchange.send_error(exc)
        except CallerGone:
            return

    async def _route(self, exchange: Exchange, method: str, path: str) -> None:
        if path == "/v1/chat/completions":
            await self._require_method(method, "POST", exchange, self._serve_chat)
        elif path.startswith(_SERVICES_PREFIX):
            await self._serve_service_call(exchange, method, path)
        elif path == "/v1/models":
            await self._require_method(method, "GET", exchange, self._serve_models)
        elif path == "/healthz":
            await exchange.send_answer(200, b"ok\n", content_type=_PLAIN_TEXT_TYPE)
        elif path == "/readyz":
            await self._serve_readyz(exchange)
        elif path == "/metrics":
            await self._serve_metrics(exchange)
        else:
            raise RequestError(Result.NO_SUCH_PATH, f"no such path: {path[:100]}")

    async def _require_method(self, method, allowed, exchange, handler) -> None:
        if method != allowed:
            raise RequestError(Result.BAD_REQUEST, f"use {allowed}, not {method}")
        await handler(exchange)

    # Requests to upstreams

    def _get_usable_config(self) -> Config:
        config = self.board.get(ConfigSection).config
        if not config.version:
            raise RequestError(Result.NOT_CONFIGURED)
        if not self.is_accepting():
            raise RequestError(Result.STOPPING)
        return config

    async def _serve_chat(self, exchange: Exchange) -> None:
        with recording_refusals(self.services, exchange.request_id):
            config = self._get_usable_config()
            caller = identify_caller(exchange, config, self.key_index)
        with recording_refusals(self.services, exchange.request_id, caller):
            body = await self._read_body(exchange)
            chat = decode_chat_request(body)
            pool = self._pool_for_model(config, chat.model)
            ticket = self._make_ticket(
                exchange,
                caller,
                body,
                fingerprint=fingerprint(body),
                prefix=prefix_hash(chat),
                resumable=chat.is_resumable(tier=caller.service_class.tier),
            )
        await ChatRun(
            exchange, caller, ticket, pool, self.services, chat=chat, body=body
        ).run()

    async def _serve_service_call(
        self, exchange: Exchange, method: str, path: str
    ) -> None:
        with recording_refusals(self.services, exchange.request_id):
            config = self._get_usable_config()
            caller = identify_caller(exchange, config, self.key_index)
        with recording_refusals(self.services, exchange.request_id, caller):
            name, _, rest = path.removeprefix(_SERVICES_PREFIX).partition("/")
            pool = self._pool_for_service(config, name)
            body = await self._read_body(exchange)
            call = self._make_service_call(exchange, method, rest, body)
            if call.key is None and not pool.pool.idempotent:
                raise RequestError(Result.KEY_REQUIRED)
            ticket = self._make_ticket(
                exchange,
                caller,
                body,
                fingerprint=fingerprint(path.encode() + b"\0" + body),
                idempotent=call.key is None,
            )
        if call.key is None:
            run: RequestRun = ServiceRun(
                exchange, caller, ticket, pool, self.services, call=call
            )
            await run.run()
            return
        await self._call_with_idempotency_key(exchange, caller, ticket, pool, call)

    async def _call_with_idempotency_key(
        self,
        exchange: Exchange,
        caller: Caller,
        ticket: Ticket,
        pool: PoolRunner,
        call: ServiceCall,
    ) -> None:
        name = f"{caller.organisation.name}\0{pool.pool.name}\0{call.key}"
        digest = content_digest(call.method.encode(), call.path.encode(), call.body)
        with recording_refusals(self.services, ticket.id, caller):
            outcome = await record_call_intent(self.ledger, name, digest, ticket.id)
            if not isinstance(outcome, RecordedIntent):
                await answer_repeated_call(exchange, self.ledger, name, outcome)
                record_request_end(
                    self.services, caller, ticket.id, Result.OK, pool.pool.name
                )
                return
        await AtMostOnceRun(
            exchange,
            caller,
            ticket,
            pool,
            self.services,
            call=call,
            ledger=self.ledger,
            intent=outcome,
        ).run()

    async def _read_body(self, exchange: Exchange) -> bytes:
        return await exchange.read_body(
            max_bytes=self.limits.body_bytes, timeout_s=self.limits.body_s
        )

    def _pool_for_model(self, config: Config, model: str) -> PoolRunner:
        pool = config.pool_for_model(model)
        runner = self.services.pools.runner(pool.name) if pool else None
        if runner is None:
            raise RequestError(Result.UNKNOWN_MODEL, f"no pool serves {model[:100]!r}")
        return runner

    def _pool_for_service(self, config: Config, name: str) -> PoolRunner:
        pool = config.pools.get(name)
        runner = self.services.pools.runner(name)
        if pool is None or pool.kind is not PoolKind.SERVICE or runner is None:
            raise RequestError(Result.UNKNOWN_POOL, f"no service pool {name[:100]!r}")
        return runner

    def _make_service_call(
        self, exchange: Exchange, method: str, rest: str, body: bytes
    ) -> ServiceCall:
        if ".." in rest.split("/") or not rest.isprintable():
            raise RequestError(Result.BAD_REQUEST, "the path is malformed")
        query = exchange.scope.get("query_string", b"").decode("latin-1")
        path = f"/{rest}?{query}" if query else f"/{rest}"
        return ServiceCall(
            method,
            path,
            exchange.header("content-type"),
            exchange.header(IDEMPOTENCY_KEY_HEADER),
            body,
        )

    def _make_ticket(self, exchange: Exchange, caller: Caller, body: bytes, **options):
        return Ticket(
            exchange.request_id,
            caller.service_class,
            caller.organisation.name,
            time.monotonic(),
            size_bytes=len(body),
            weight=caller.organisation.weight,
            **options,
        )

    # Models, health checks and metrics

    async def _serve_models(self, exchange: Exchange) -> None:
        with recording_refusals(self.services, exchange.request_id):
            config = self._get_usable_config()
            identify_caller(exchange, config, self.key_index)
        models = sorted({m for pool in config.pools.values() for m in pool.models})
        data = [
            {"id": name, "object": "model", "created": 0, "owned_by": "shallotpoint"}
            for name in models
        ]
        await exchange.send_answer(
            200, msgspec.json.encode({"object": "list", "data": data})
        )

    async def _serve_readyz(self, exchange: Exchange) -> None:
        if self.is_ready():
            await exchange.send_answer(200, b"ready\n", content_type=_PLAIN_TEXT_TYPE)
        else:
            await exchange.send_answer(
                503, b"not ready\n", content_type=_PLAIN_TEXT_TYPE
            )

    async def _serve_metrics(self, exchange: Exchange) -> None:
        body, headers = self.services.metrics.render()
        content_type = headers["Content-Type"].encode()
        await exchange.send_answer(200, body, content_type=content_type)

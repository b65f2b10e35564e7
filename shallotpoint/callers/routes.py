"""ASGI applications: requests on routes, and endpoints for the load balancer."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass

from shallotpoint.blackboard import Blackboard
from shallotpoint.callers.access import Caller
from shallotpoint.callers.dialect import CONNECTION_HEADERS, Headers, RequestInfo
from shallotpoint.callers.exchange import CallerGone, Exchange
from shallotpoint.callers.route_run import (
    RouteCall,
    RouteRun,
    UpstreamAccess,
    fail_on_route,
)
from shallotpoint.callers.run import Services, record_request_end
from shallotpoint.controllers.sections import ConfigSection
from shallotpoint.errors import RequestError
from shallotpoint.hashing import hash64, hash_key
from shallotpoint.policy.configuration import Config
from shallotpoint.policy.freshness import FreshnessRule, may_authorise
from shallotpoint.policy.model import Organisation
from shallotpoint.policy.routes import Route, RouteKind, service_class_of
from shallotpoint.policy.scheduler import STOP_RETRY_S
from shallotpoint.policy.ticket import Ticket
from shallotpoint.results import Result
from shallotpoint.types import Clock, Seconds

BODY_TIMEOUT_S = 10.0  # time limit for reading the body of a request
EXPLAIN_PATH = "/explain/route"
MAX_EXPLAIN_BYTES = 65_536  # description of a request with some hundred prompt parts
_PLAIN_TEXT = b"text/plain; charset=utf-8"
_NO_ORGANISATION = Organisation("", "")


@dataclass(frozen=True, slots=True)
class KeyView:
    """Checks whether the router's view of the API keys is recent enough.

    Attributes
    ----------
    rule : Callable
        Returns the rule that limits the age of the view.
    age_s : Callable
        Returns the age of the view in seconds at a time of ``clock``; None if there
        is no view.
    clock : Callable
        Returns the time in seconds; it also advances while the host is suspended.
    """

    rule: Callable[[], FreshnessRule]
    age_s: Callable[[Seconds], Seconds | None]
    clock: Clock

    def is_current(self) -> bool:
        """Return whether requests with a key may be admitted."""
        return may_authorise(self.rule(), self.age_s(self.clock()))


@dataclass(frozen=True, slots=True)
class RoutesApp:
    """ASGI application that serves the requests on routes.

    It uses no web framework, as every request passes through it.

    Attributes
    ----------
    stop_left_s : Callable
        Returns the time until the router stops, in seconds; None if no planned stop
        has begun.  During one, connections are closed after their answer, and only
        requests whose time limit ends before the stop are accepted.
    make_request_id : Callable
        Returns a new request id, for a request whose own id is not read yet.
    has_read_kv : Callable
        Returns whether the routers' data in the key-value service was read once;
        until then the router doesn't know which requests are blocked.
    """

    board: Blackboard
    services: Services
    upstream_access: UpstreamAccess
    keys: KeyView
    stop_left_s: Callable[[], Seconds | None]
    make_request_id: Callable[[], str]
    has_read_kv: Callable[[], bool] = lambda: True

    async def __call__(self, scope, receive, send) -> None:
        """Serve one request."""
        if scope["type"] != "http":
            return
        exchange = Exchange(scope, receive, send, self.make_request_id())
        exchange.closes_connection = self.stop_left_s() is not None
        try:
            await self._serve(exchange)
        except RequestError as exc:
            age_s = self.keys.age_s(self.keys.clock())
            facts = {
                "version": self.board.get(ConfigSection).config.version,
                "view_age_s": None if age_s is None else round(age_s, 3),
            }
            record_request_end(
                self.services, None, exchange.request_id, exc.result, log_fields=facts
            )
            await fail_on_route(exchange, exc, self.upstream_access.dialect)
        except CallerGone:
            return

    async def _serve(self, exchange: Exchange) -> None:
        arrived_s = time.monotonic()
        scope = exchange.scope
        headers: Headers = scope["headers"]
        facts = self.upstream_access.dialect.read_request(dict(headers))
        if facts is None:
            raise RequestError(Result.BAD_REQUEST, "the request has no usable id")
        exchange.request_id = facts.id
        config = self._get_config()
        host = dict(headers).get(b"host", b"").decode("latin-1")
        route = find_route(config, host, scope["raw_path"].decode("latin-1"))
        time_limit_at_s = arrived_s + route.timeout_s
        if facts.time_left_s is not None:
            time_limit_at_s = min(time_limit_at_s, arrived_s + facts.time_left_s)
        self._check_planned_stop(time_limit_at_s, arrived_s)
        organisation = authenticate(config, self.keys, route, facts.api_key)
        body = await exchange.read_body(
            max_bytes=config.routing.limits.max_body_bytes, timeout_s=BODY_TIMEOUT_S
        )
        # A stop may have begun while the body was on its way.
        self._check_planned_stop(time_limit_at_s, time.monotonic())
        await self._run_request(
            exchange,
            config,
            route,
            organisation,
            facts,
            body,
            arrived_s=arrived_s,
            time_limit_at_s=time_limit_at_s,
        )

    def _get_config(self) -> Config:
        config = self.board.get(ConfigSection).config
        if not config.version or not self.has_read_kv():
            raise RequestError(Result.NOT_CONFIGURED, retry_after_s=0.5)
        return config

    def _check_planned_stop(self, time_limit_at_s: Seconds, now: Seconds) -> None:
        """Raise RequestError if a planned stop may cut the request."""
        left_s = self.stop_left_s()
        if left_s is not None and time_limit_at_s - now > left_s:
            raise RequestError(Result.STOPPING, retry_after_s=STOP_RETRY_S)

    async def _run_request(
        self,
        exchange: Exchange,
        config: Config,
        route: Route,
        organisation: Organisation,
        facts: RequestInfo,
        body: bytes,
        *,
        arrived_s: Seconds,
        time_limit_at_s: Seconds,
    ) -> None:
        pool = self.services.pools.runner(route.pool_for(facts.id))
        if pool is None:
            raise RequestError(Result.NO_UPSTREAM, retry_after_s=0.5)
        scope = exchange.scope
        path = scope["raw_path"]
        content = b"\0".join((path, organisation.name.encode(), body))
        ticket = make_ticket(
            config,
            route,
            organisation,
            facts,
            size_bytes=len(body),
            fingerprint=hash64(content),
            arrived_s=arrived_s,
            time_limit_at_s=time_limit_at_s,
        )
        service_class = ticket.service_class
        query = scope["query_string"]
        target = path + b"?" + query if query else path
        call = RouteCall(
            route,
            facts,
            scope["method"],
            target.decode("latin-1"),
            self._forwarded_headers(scope["headers"]),
            body,
            service_class.tier - 1,
            organisation.name or None,
        )
        caller = Caller(organisation, service_class, None, None)
        run = RouteRun(
            exchange,
            caller,
            ticket,
            pool,
            self.services,
            call=call,
            upstream_access=self.upstream_access,
        )
        await run.run()

    def _forwarded_headers(self, headers: Headers) -> tuple[tuple[str, str], ...]:
        connection_options: set[bytes] = set()
        for name, value in headers:
            if name == b"connection":
                connection_options.update(
                    part.strip() for part in value.lower().split(b",")
                )
        is_forwarded = self.upstream_access.dialect.is_forwarded
        return tuple(
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in headers
            if name not in connection_options and is_forwarded(name)
            if name.decode("latin-1") not in CONNECTION_HEADERS
        )


def find_route(config: Config, host: str, path: str) -> Route:
    """Return the route of a request by its ``Host`` header and path.

    Raises
    ------
    RequestError
        No route matches.
    """
    name = host.rpartition(":")[0] or host if ":" in host else host
    route = config.routing.table.find(name.lower(), path)
    if route is None:
        raise RequestError(Result.NO_ROUTE)
    return route


def authenticate(
    config: Config, keys: KeyView, route: Route, api_key: str | None
) -> Organisation:
    """Return the organisation of a key; one without a name where none is needed.

    Raises
    ------
    RequestError
        The key is missing or unknown, or the view of the keys is too old.
    """
    routing = config.routing
    if route.is_public or not routing.needs_keys:
        return _NO_ORGANISATION
    if not keys.is_current():
        raise RequestError(Result.STALE_VIEW, retry_after_s=1.0)
    if not api_key:
        raise RequestError(Result.MISSING_KEY)
    organisation_name = routing.key_holders.get(hash_key(api_key))
    if organisation_name is None:
        raise RequestError(Result.WRONG_KEY)
    return config.organisations[organisation_name]


def make_ticket(
    config: Config,
    route: Route,
    organisation: Organisation,
    facts: RequestInfo,
    *,
    size_bytes: int,
    fingerprint: int,
    arrived_s: Seconds,
    time_limit_at_s: Seconds,
) -> Ticket:
    """Return the properties of a request on a route, for the scheduling policy."""
    return Ticket(
        facts.id,
        service_class_of(route, organisation.tier, config.routing.order),
        organisation.name,
        arrived_s,
        size_bytes=size_bytes,
        fingerprint=fingerprint,
        idempotent=route.repeatable,
        resumable=route.kind is RouteKind.STREAM and route.resumable,
        time_limit_at_s=time_limit_at_s,
        max_attempts=route.max_attempts,
        prompt=facts.prompt,
        parts=facts.prompt.shared_ids if facts.prompt else frozenset(),
    )


@dataclass(frozen=True, slots=True)
class BalancerApp:
    """ASGI application with the readiness, liveness and metrics endpoints.

    Attributes
    ----------
    ready : Callable
        Returns whether the load balancer may send requests to this router.
    explain_route : Callable, optional
        Returns the JSON explanation of a request that is described in JSON; without
        it the path is unknown.  Raises RequestError if it cannot be read.
    """

    ready: Callable[[], bool]
    services: Services
    explain_route: Callable[[bytes], bytes] | None = None

    async def __call__(self, scope, receive, send) -> None:
        """Serve one request."""
        if scope["type"] != "http":
            return
        exchange = Exchange(scope, receive, send, "-")
        path = scope["path"]
        if path == "/readyz":
            if self.ready():
                await exchange.send_answer(200, b"ready\n", content_type=_PLAIN_TEXT)
            else:
                await exchange.send_answer(
                    503, b"not ready\n", content_type=_PLAIN_TEXT
                )
        elif path == "/healthz":
            await exchange.send_answer(200, b"ok\n", content_type=_PLAIN_TEXT)
        elif path == "/metrics":
            body, headers = self.services.metrics.render()
            content_type = headers["Content-Type"].encode()
            await exchange.send_answer(200, body, content_type=content_type)
        elif path == EXPLAIN_PATH and self.explain_route is not None:
            try:
                body = await exchange.read_body(
                    max_bytes=MAX_EXPLAIN_BYTES, timeout_s=BODY_TIMEOUT_S
                )
                answer = self.explain_route(body)
            except RequestError as exc:
                await exchange.send_error(exc)
            except CallerGone:
                return
            else:
                await exchange.send_answer(200, answer)
        else:
            await exchange.send_error(RequestError(Result.NO_SUCH_PATH))

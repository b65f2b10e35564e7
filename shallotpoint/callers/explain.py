"""Explains to operators what this router would do with a request.

The request is described in JSON, and is neither queued nor sent.  Keys are in the body
of the description, so that no log of addresses has them, and are not in the answer.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import asdict, dataclass
from typing import Annotated

import msgspec

from shallotpoint.blackboard import Blackboard
from shallotpoint.callers.dialect import RequestInfo
from shallotpoint.callers.routes import KeyView, authenticate, find_route, make_ticket
from shallotpoint.controllers.pools import PoolsController
from shallotpoint.controllers.sections import ConfigSection
from shallotpoint.decoding import DECODE_ERRORS, MAX_EXACT_INT
from shallotpoint.errors import RequestError
from shallotpoint.policy.configuration import Config
from shallotpoint.policy.model import Organisation
from shallotpoint.policy.prompts import MAX_TOKENS, Prompt, PromptPart
from shallotpoint.policy.routes import Route
from shallotpoint.results import RESULTS, Result, status_name
from shallotpoint.types import Clock, JSONObject, Seconds

_Tokens = Annotated[int, msgspec.Meta(le=MAX_TOKENS)]


class RequestDescription(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A request to explain.

    Attributes
    ----------
    key, organisation : str or None
        API key, or the name of the organisation instead.
    id : str
        Id of the request; it selects among weighted pools and equal upstreams.
    prompt_parts : list of tuple
        Id and tokens of each part of the prompt; the last is the request's own.
    prompt_tokens : int or None
        Tokens of the whole prompt; by default those of its parts.
    size_bytes : int
        Length of the body.
    time_left_s : float or None
        How long the caller waits, in seconds; by default as long as the route allows.
    """

    host: str
    path: str
    method: str = "POST"
    key: str | None = None
    organisation: str | None = None
    id: str = "explain"
    prompt_parts: list[tuple[str, _Tokens]] = []
    prompt_tokens: _Tokens | None = None
    output_tokens: _Tokens = 0
    size_bytes: Annotated[int, msgspec.Meta(le=MAX_EXACT_INT)] = 0
    time_left_s: float | None = None


_decoder = msgspec.json.Decoder(RequestDescription)


@dataclass(frozen=True, slots=True)
class RouteExplainer:
    """Explains the handling of requests on routes.

    Attributes
    ----------
    load_age_s : Callable
        Returns the age of the oldest load report in use; None if there is none.
    """

    board: Blackboard
    pools: PoolsController
    keys: KeyView
    clock: Clock
    load_age_s: Callable[[Seconds], Seconds | None]

    def explain(self, raw: bytes) -> bytes:
        """Return the explanation of a described request, both in JSON.

        Raises
        ------
        RequestError
            The description is not usable; the message names the field and the fix.
        """
        try:
            description = _decoder.decode(raw)
        except DECODE_ERRORS as exc:
            raise RequestError(
                Result.BAD_REQUEST, f"{exc}; correct the field that is named"
            ) from None
        _check(description)
        return msgspec.json.encode(self._explain(description, self.clock()))

    def _explain(self, described: RequestDescription, now: Seconds) -> JSONObject:
        config = self.board.get(ConfigSection).config
        answer: JSONObject = {"route": None, "config_version": config.version}
        if not config.version:
            return answer | _refusal(Result.NOT_CONFIGURED, None)
        name = described.organisation
        if name is not None and name not in config.organisations:
            raise RequestError(
                Result.BAD_REQUEST,
                "organisation: not in the configuration; give a listed name or a key",
            )
        try:
            route = find_route(config, described.host, described.path)
            answer["route"] = f"{route.host}{route.prefix}"
            organisation = self._organisation(config, route, described)
            answer["organisation"] = organisation.name or None
            pool = self.pools.runner(route.pool_for(described.id))
            if pool is None:
                raise RequestError(Result.NO_UPSTREAM, retry_after_s=0.5)
        except RequestError as exc:
            return answer | _refusal(exc.result, exc.retry_after_s)
        prompt = _prompt(described)
        left_s = route.timeout_s
        if described.time_left_s is not None:
            left_s = min(left_s, described.time_left_s)
        ticket = make_ticket(
            config,
            route,
            organisation,
            RequestInfo(described.id, described.time_left_s, None, prompt),
            size_bytes=described.size_bytes,
            fingerprint=0,
            arrived_s=now,
            time_limit_at_s=now + left_s,
        )
        found = pool.scheduler.explain(ticket, now)
        refusal = _refusal(found.refusal, found.retry_after_s)
        return (
            answer
            | {
                "pool": pool.pool.name,
                "class": ticket.service_class.name,
                "tier": ticket.service_class.tier,
                "upstream": found.upstream,
                "ahead": found.ahead,
                "expected_wait_s": found.expected_wait_s,
                "load_age_s": self.load_age_s(now),
                "upstreams": [asdict(verdict) for verdict in found.upstreams],
            }
            | refusal
        )

    def _organisation(
        self, config: Config, route: Route, described: RequestDescription
    ) -> Organisation:
        if described.organisation is None:
            return authenticate(config, self.keys, route, described.key)
        return config.organisations[described.organisation]


def _check(described: RequestDescription) -> None:
    """Raise RequestError for a value that no request can have."""
    left_s = described.time_left_s
    faults = {
        "host: empty; give the Host header": not described.host,
        "path: must begin with /; give the path of the request": (
            not described.path.startswith("/")
        ),
        "organisation: give it or key, not both": (
            described.key is not None and described.organisation is not None
        ),
        "time_left_s: must be above 0; give seconds": left_s is not None
        and not left_s > 0,
        "size_bytes: must not be negative; give bytes": described.size_bytes < 0,
        "prompt_tokens: must not be negative": (described.prompt_tokens or 0) < 0,
        "output_tokens: must not be negative": described.output_tokens < 0,
        "prompt_parts: tokens must not be negative": any(
            tokens < 0 for _, tokens in described.prompt_parts
        ),
    }
    found = [text for text, is_wrong in faults.items() if is_wrong]
    if found:
        raise RequestError(Result.BAD_REQUEST, "; ".join(found))


def _prompt(described: RequestDescription) -> Prompt | None:
    parts = tuple(PromptPart(name, tokens) for name, tokens in described.prompt_parts)
    tokens = described.prompt_tokens
    if tokens is None:
        tokens = sum(part.tokens for part in parts)
    if not parts and not tokens:
        return None
    return Prompt(parts, tokens, described.output_tokens)


def _refusal(result: Result | None, retry_after_s: Seconds | None) -> JSONObject:
    """Return the response to a refused request, None for one that is not refused."""
    if result is None:
        return {"refusal": None}
    return {
        "refusal": {
            "result": status_name(result),
            "status": RESULTS[result].http_status,
            "meaning": RESULTS[result].meaning,
            "retry_after_s": retry_after_s,
        }
    }

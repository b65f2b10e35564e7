"""The HTTP interface for operators."""

from __future__ import annotations

import hmac
from collections.abc import Sequence

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse
from starlette.routing import Route

from shallotpoint.hashing import hash_key
from shallotpoint.operators.desk import Desk, Operator, Reply
from shallotpoint.results import RESULTS, Result
from shallotpoint.settings import OperatorToken

MAX_COMMAND_BYTES = 64 << 10


def authenticate(tokens: Sequence[OperatorToken], header: str) -> Operator | None:
    """Return whose token a header holds, or None.

    Every token is compared, in constant time.
    """
    scheme, _, token = header.partition(" ")
    if scheme.lower() != "bearer":
        return None
    digest = hash_key(token.strip())
    found = None
    for known in tokens:
        if hmac.compare_digest(known.token_sha256, digest):
            found = Operator(known.name, known.role == "change")
    return found


def operators_app(desk: Desk, tokens: Sequence[OperatorToken]) -> Starlette:
    """Return the application that serves ``POST /operate``."""

    async def operate(request: Request) -> JSONResponse:
        operator = authenticate(tokens, request.headers.get("authorization", ""))
        if operator is None:
            return _answer(Reply(Result.NOT_PERMITTED, "the token is not known"))
        body = await request.body()
        if len(body) > MAX_COMMAND_BYTES:
            return _answer(Reply(Result.PARSE_ERROR, "the command is too long"))
        try:
            command = (await request.json())["command"]
        except (ValueError, KeyError, TypeError):
            command = None
        if not isinstance(command, str):
            return _answer(Reply(Result.PARSE_ERROR, 'send {"command": "..."}'))
        return _answer(await desk.run(command, operator))

    return Starlette(routes=[Route("/operate", operate, methods=["POST"])])


def _answer(reply: Reply) -> JSONResponse:
    status = RESULTS[reply.result].http_status
    return JSONResponse(reply.to_json(), status_code=status)

"""Simulated key-value service with a subset of the etcd v3 JSON gateway's API."""

from __future__ import annotations

import asyncio
import base64
import random
import time
from collections.abc import AsyncIterator
from dataclasses import asdict
from typing import Any

import msgspec
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response, StreamingResponse
from starlette.routing import Route

from shallotpoint.coordination.kv import Change, Delete, Entry, Expect, Put
from shallotpoint.coordination.memory_kv import (
    MemoryKeyValue,
    OutcomeUnknown,
    Unavailable,
)
from shallotpoint.httpd import CrashToCut
from shallotpoint.standins.faults import faults_route


def _encode_base64(text: str | bytes) -> str:
    raw = text.encode() if isinstance(text, str) else text
    return base64.b64encode(raw).decode()


def _decode_key(text: str) -> str:
    return base64.b64decode(text).decode()


def _entry_json(entry: Entry) -> dict:
    return {
        "key": _encode_base64(entry.key),
        "value": _encode_base64(entry.value),
        "mod_revision": str(entry.revision),
        "lease": str(entry.lease),
    }


def _change_json(change: Change) -> dict:
    if change.entry is None:
        kv = {"key": _encode_base64(change.key), "mod_revision": str(change.revision)}
        return {"type": "DELETE", "kv": kv}
    return {"type": "PUT", "kv": _entry_json(change.entry)}


def _decode_change(operation: dict) -> Put | Delete:
    if put := operation.get("requestPut"):
        value = base64.b64decode(put.get("value", ""))
        return Put(_decode_key(put["key"]), value, int(put.get("lease", 0)))
    delete = operation["requestDeleteRange"]
    return Delete(_decode_key(delete["key"]), prefix="range_end" in delete)


class KeyValueStandin:
    """Serves a :class:`MemoryKeyValue` with the gateway's paths and messages.

    Parameters
    ----------
    seed : int
        Seed of the random choice of lost answers.
    """

    def __init__(self, *, seed: int = 7):
        self.kv = MemoryKeyValue(clock=time.monotonic, rng=random.Random(seed))
        self.app = CrashToCut(
            Starlette(
                routes=[
                    Route(
                        "/v3/kv/range",
                        self._make_endpoint(self._range),
                        methods=["POST"],
                    ),
                    Route(
                        "/v3/kv/txn", self._make_endpoint(self._txn), methods=["POST"]
                    ),
                    Route(
                        "/v3/lease/grant",
                        self._make_endpoint(self._grant),
                        methods=["POST"],
                    ),
                    Route(
                        "/v3/lease/keepalive",
                        self._make_endpoint(self._keep_alive),
                        methods=["POST"],
                    ),
                    Route(
                        "/v3/lease/revoke",
                        self._make_endpoint(self._revoke),
                        methods=["POST"],
                    ),
                    Route("/v3/watch", self._watch, methods=["POST"]),
                    Route("/counts", self._get_counts),
                    faults_route(self.kv.faults),
                ]
            ),
            ConnectionAbortedError,
        )

    def _make_endpoint(self, handler: Any) -> Any:
        async def endpoint(request: Request) -> Response:
            try:
                body = msgspec.json.decode(await request.body())
                answer = await handler(body)
            except Unavailable as exc:
                return JSONResponse({"error": str(exc), "code": 14}, status_code=503)
            except OutcomeUnknown:
                # To the client, a lost answer is a connection that closes early.
                raise ConnectionAbortedError(
                    "answer lost by an injected fault"
                ) from None
            except (KeyError, ValueError, TypeError) as exc:
                return JSONResponse({"error": repr(exc), "code": 3}, status_code=400)
            return Response(msgspec.json.encode(answer), media_type="application/json")

        return endpoint

    def _header(self) -> dict:
        return {"revision": str(self.kv.store.revision)}

    async def _range(self, body: dict) -> dict:
        key = _decode_key(body["key"])
        if "range_end" in body:
            entries = (await self.kv.list_prefix(key)).entries
        else:
            entry = await self.kv.get(key)
            entries = (entry,) if entry else ()
        return {
            "header": self._header(),
            "kvs": [_entry_json(e) for e in entries],
            "count": str(len(entries)),
        }

    async def _txn(self, body: dict) -> dict:
        expects = [
            Expect(_decode_key(c["key"]), int(c["mod_revision"]))
            for c in body.get("compare", ())
        ]
        changes = [_decode_change(op) for op in body.get("success", ())]
        outcome = await self.kv.txn(expects, changes)
        responses = [
            {"response_range": {"kvs": [_entry_json(entry)]}} for entry in outcome.found
        ]
        return {
            "header": {"revision": str(outcome.revision)},
            "succeeded": outcome.succeeded,
            "responses": responses,
        }

    async def _grant(self, body: dict) -> dict:
        lease = await self.kv.grant(float(body["TTL"]))
        return {"header": self._header(), "ID": str(lease), "TTL": str(body["TTL"])}

    async def _keep_alive(self, body: dict) -> dict:
        ttl_s = await self.kv.keep_alive(int(body["ID"]))
        return {"result": {"ID": body["ID"], "TTL": str(int(ttl_s))}}

    async def _revoke(self, body: dict) -> dict:
        await self.kv.revoke(int(body["ID"]))
        return {"header": self._header()}

    async def _watch(self, request: Request) -> Response:
        create = msgspec.json.decode(await request.body())["create_request"]
        prefix = _decode_key(create["key"])
        revision = int(create.get("start_revision", self.kv.store.revision + 1))
        if self.kv.faults.down:
            return JSONResponse({"error": "down", "code": 14}, status_code=503)
        return StreamingResponse(self._stream_events(prefix, revision))

    async def _stream_events(self, prefix: str, revision: int) -> AsyncIterator[bytes]:
        yield self._result_line({"header": self._header(), "created": True})
        changes = self.kv.watch(prefix, revision)
        pending: asyncio.Task | None = None
        try:
            while not self.kv.faults.down:
                pending = pending or asyncio.ensure_future(anext(changes))
                done, _ = await asyncio.wait({pending}, timeout=0.2)
                if not done:
                    continue
                events = [_change_json(c) for c in pending.result()]
                pending = None
                yield self._result_line({"header": self._header(), "events": events})
        finally:
            if pending is not None:
                pending.cancel()

    def _result_line(self, result: dict) -> bytes:
        return msgspec.json.encode({"result": result}) + b"\n"

    async def _get_counts(self, request: Request) -> JSONResponse:
        return JSONResponse(asdict(self.kv.counts))

"""Client of the key-value service over the etcd v3 JSON gateway."""

from __future__ import annotations

import base64
from collections.abc import AsyncIterator, Sequence

import aiohttp
import msgspec

from shallotpoint.coordination.kv import (
    Change,
    Delete,
    Entry,
    Expect,
    KeyValueError,
    Listing,
    OutcomeUnknown,
    Put,
    TxnOutcome,
    Unavailable,
)
from shallotpoint.decoding import DECODE_ERRORS
from shallotpoint.types import JSONObject, Revision, Seconds
from shallotpoint.upstreams.client import read_bounded

CALL_TIMEOUT_S = 2.0
MAX_ANSWER_BYTES = 32 << 20  # listings are not paged


def _b64(text: str | bytes) -> str:
    raw = text.encode() if isinstance(text, str) else text
    return base64.b64encode(raw).decode()


def _range_end(prefix: str) -> str:
    """Return the first key after all keys with the prefix, base64-encoded."""
    raw = prefix.encode()
    return _b64(raw[:-1] + bytes([raw[-1] + 1]))


def _parse_entry(kv: JSONObject) -> Entry:
    return Entry(
        key=base64.b64decode(kv["key"]).decode(),
        value=base64.b64decode(kv.get("value", "")),
        revision=int(kv["mod_revision"]),
        lease=int(kv.get("lease", 0)),
    )


def _parse_change(event: JSONObject) -> Change:
    kv = event["kv"]
    if event.get("type") == "DELETE":
        key = base64.b64decode(kv["key"]).decode()
        return Change(key, None, int(kv["mod_revision"]))
    entry = _parse_entry(kv)
    return Change(entry.key, entry, entry.revision)


def _compare_clause(expect: Expect) -> JSONObject:
    return {
        "key": _b64(expect.key),
        "target": "MOD",
        "result": "EQUAL",
        "mod_revision": str(expect.revision),
    }


def _request_op(change: Put | Delete) -> JSONObject:
    if isinstance(change, Put):
        put = {"key": _b64(change.key), "value": _b64(change.value)}
        if change.lease:
            put["lease"] = str(change.lease)
        return {"requestPut": put}
    delete = {"key": _b64(change.key)}
    if change.prefix:
        delete["range_end"] = _range_end(change.key)
    return {"requestDeleteRange": delete}


class EtcdKeyValue:
    """A :class:`~shallotpoint.coordination.kv.KeyValue` on etcd's JSON gateway.

    Parameters
    ----------
    url : str
        Base URL of the gateway.
    session : aiohttp.ClientSession
        Session for all calls; the caller closes it.
    timeout_s : float
        Time limit of one call, in seconds.

    Attributes
    ----------
    calls : int
        Number of calls made, for metrics.
    """

    def __init__(
        self,
        url: str,
        session: aiohttp.ClientSession,
        *,
        timeout_s: Seconds = CALL_TIMEOUT_S,
    ):
        self._url = url.rstrip("/")
        self._session = session
        self._timeout = aiohttp.ClientTimeout(total=timeout_s)
        self.calls = 0

    async def get(self, key: str) -> Entry | None:
        """Return the entry of a key, or None if the key does not exist."""
        answer = await self._call("/v3/kv/range", {"key": _b64(key)})
        kvs = answer.get("kvs", ())
        return _parse_entry(kvs[0]) if kvs else None

    async def list_prefix(self, prefix: str) -> Listing:
        """Return the entries of all keys with a prefix."""
        body = {"key": _b64(prefix), "range_end": _range_end(prefix)}
        answer = await self._call("/v3/kv/range", body)
        entries = tuple(_parse_entry(kv) for kv in answer.get("kvs", ()))
        return Listing(entries, int(answer["header"]["revision"]))

    async def txn(
        self, expects: Sequence[Expect], changes: Sequence[Put | Delete]
    ) -> TxnOutcome:
        """Apply all changes if all conditions hold, otherwise none."""
        reads = [{"requestRange": {"key": _b64(e.key)}} for e in expects]
        body = {
            "compare": [_compare_clause(e) for e in expects],
            "success": [_request_op(c) for c in changes],
            "failure": reads,
        }
        answer = await self._call("/v3/kv/txn", body, writes=True)
        revision = int(answer["header"]["revision"])
        if answer.get("succeeded"):
            return TxnOutcome(True, revision)
        found = [
            _parse_entry(kv)
            for response in answer.get("responses", ())
            for kv in response.get("response_range", {}).get("kvs", ())
        ]
        return TxnOutcome(False, revision, tuple(found))

    async def grant(self, ttl_s: Seconds) -> int:
        """Create a lease and return its id.

        The time to live is rounded to whole seconds, at least 1.
        """
        body = {"TTL": str(max(1, round(ttl_s)))}
        answer = await self._call("/v3/lease/grant", body, writes=True)
        return int(answer["ID"])

    async def keep_alive(self, lease: int) -> Seconds:
        """Renew a lease; return its time to live in seconds, 0 if it has expired."""
        answer = await self._call("/v3/lease/keepalive", {"ID": str(lease)})
        return float(answer.get("result", {}).get("TTL", 0))

    async def revoke(self, lease: int) -> None:
        """Revoke a lease and delete its keys."""
        await self._call("/v3/lease/revoke", {"ID": str(lease)}, writes=True)

    async def watch(
        self, prefix: str, from_revision: Revision
    ) -> AsyncIterator[Sequence[Change]]:
        """Yield changes to keys with a prefix, as lists of changes.

        Yields an empty list when the service confirms the watch.

        Raises
        ------
        Unavailable
            The watch could not be opened, was cancelled or lost its connection.
        """
        create = {
            "key": _b64(prefix),
            "range_end": _range_end(prefix),
            "start_revision": str(from_revision),
        }
        self.calls += 1
        timeout = aiohttp.ClientTimeout(total=None, sock_connect=CALL_TIMEOUT_S)
        try:
            async with self._session.post(
                f"{self._url}/v3/watch",
                json={"create_request": create},
                timeout=timeout,
            ) as resp:
                if resp.status != 200:
                    raise Unavailable(f"watch request returned status {resp.status}")
                async for line in resp.content:
                    result = msgspec.json.decode(line)["result"]
                    if result.get("canceled"):
                        raise Unavailable("the service cancelled the watch")
                    yield [_parse_change(e) for e in result.get("events", ())]
        except (aiohttp.ClientError, TimeoutError, OSError) as exc:
            raise Unavailable(f"watch connection failed: {exc!r}") from exc
        except ValueError as exc:  # a line over the limit of aiohttp
            raise Unavailable(f"cannot read the watch: {exc}") from exc

    async def _call(
        self, path: str, body: JSONObject, *, writes: bool = False
    ) -> JSONObject:
        self.calls += 1
        error_type: type[KeyValueError] = OutcomeUnknown if writes else Unavailable
        try:
            async with self._session.post(
                self._url + path, json=body, timeout=self._timeout
            ) as resp:
                raw = await read_bounded(resp, max_bytes=MAX_ANSWER_BYTES)
                status = resp.status
        except aiohttp.ClientConnectorError as exc:
            raise Unavailable(f"cannot connect to the service: {exc}") from exc
        except (aiohttp.ClientError, TimeoutError, OSError) as exc:
            raise error_type(f"no answer from the service: {exc!r}") from exc
        if status == 503:
            raise Unavailable(f"the service answered with status {status}")
        if status != 200:
            raise error_type(f"the service answered with status {status}")
        try:
            return msgspec.json.decode(raw)
        except DECODE_ERRORS as exc:
            raise error_type(f"the service's answer is unreadable: {exc}") from exc

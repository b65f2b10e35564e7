"""Authenticated requests and replies between members, over pynng."""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
import hmac
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Protocol, TypeVar

import pynng

from shallotpoint.types import Seconds

MAC_BYTES = 16
MAX_MESSAGE_BYTES = 4 << 20
DEFAULT_CONTEXTS = 8  # requests that one member handles concurrently

T = TypeVar("T")
Handler = Callable[[bytes], Awaitable[bytes]]


class TransportError(Exception):
    """A peer sent no reply in time, or a message that is not valid."""


class Transport(Protocol):
    """Sends requests to members."""

    async def request(
        self, address: str, message: bytes, *, timeout_s: Seconds
    ) -> bytes:
        """Send a message to a member and return its reply.

        Raises
        ------
        TransportError
            If there is no valid reply within ``timeout_s``.
        """


class MessageAuthenticator:
    """Adds and checks a message authentication code (MAC) under a shared key.

    Messages are not encrypted.

    Examples
    --------
    >>> authenticator = MessageAuthenticator(b"secret")
    >>> authenticator.verify(authenticator.sign(b"hello"))
    b'hello'
    """

    def __init__(self, key: bytes):
        self._key = hashlib.blake2b(key, digest_size=32).digest()

    def sign(self, message: bytes) -> bytes:
        """Return the message with its authentication code in front."""
        return self._mac(message) + message

    def verify(self, signed: bytes) -> bytes:
        """Return a signed message without its authentication code.

        Raises
        ------
        TransportError
            If the code does not match the message and the key.
        """
        mac, message = signed[:MAC_BYTES], signed[MAC_BYTES:]
        if not hmac.compare_digest(mac, self._mac(message)):
            raise TransportError("message authentication code does not match")
        return message

    def _mac(self, message: bytes) -> bytes:
        return hashlib.blake2b(message, key=self._key, digest_size=MAC_BYTES).digest()


class NngTransport:
    """Transport over pynng request and reply sockets on TCP.

    Parameters
    ----------
    authenticator : MessageAuthenticator
        Authenticates messages; all members have the same key.

    Attributes
    ----------
    rejected : int
        Requests that were not answered because they were not valid.
    """

    def __init__(self, authenticator: MessageAuthenticator):
        self._authenticator = authenticator
        self._sockets: dict[str, pynng.Req0] = {}
        self.rejected = 0

    async def request(
        self, address: str, message: bytes, *, timeout_s: Seconds
    ) -> bytes:
        """Send a message to ``host:port`` and return the reply, as `Transport` does."""
        socket = self._socket(address)
        try:
            with socket.new_context() as context:
                async with asyncio.timeout(timeout_s):
                    await _cancellable(context.asend(self._authenticator.sign(message)))
                    reply = await _cancellable(context.arecv())
        except (pynng.NNGException, TimeoutError) as exc:
            raise TransportError(f"no reply from {address}: {exc!r}") from exc
        return self._authenticator.verify(reply)

    @contextlib.asynccontextmanager
    async def listening(
        self, address: str, handler: Handler, *, contexts: int = DEFAULT_CONTEXTS
    ) -> AsyncIterator[str]:
        """Handle requests at ``host:port``; yield the address in use.

        Parameters
        ----------
        handler : Callable
            Returns the reply to a message; TransportError if it is not valid.
        contexts : int
            Requests that are handled concurrently.
        """
        with pynng.Rep0(recv_max_size=MAX_MESSAGE_BYTES) as socket:
            listener = socket.listen(f"tcp://{address}")
            bound = str(listener.local_address)
            tasks = [
                asyncio.create_task(self._serve_requests(socket.new_context(), handler))
                for _ in range(contexts)
            ]
            try:
                yield bound.removeprefix("tcp://")
            finally:
                for task in tasks:
                    task.cancel()
                await asyncio.gather(*tasks, return_exceptions=True)

    def close_except(self, keep: set[str]) -> None:
        """Close the connections to all addresses that are not in ``keep``."""
        for address in self._sockets.keys() - keep:
            self._sockets.pop(address).close()

    def close(self) -> None:
        """Close all connections."""
        self.close_except(set())

    def _socket(self, address: str) -> pynng.Req0:
        """Return the socket for an address; create it and start to dial if needed."""
        socket = self._sockets.get(address)
        if socket is None:
            socket = pynng.Req0(
                resend_time=60_000,
                recv_max_size=MAX_MESSAGE_BYTES,
                reconnect_time_min=100,
                reconnect_time_max=1_000,
            )
            socket.dial(f"tcp://{address}", block=False)
            self._sockets[address] = socket
        return socket

    async def _serve_requests(self, context: pynng.Context, handler: Handler) -> None:
        with context:
            while True:
                try:
                    signed = await _cancellable(context.arecv())
                    reply = await handler(self._authenticator.verify(signed))
                    await _cancellable(context.asend(self._authenticator.sign(reply)))
                except TransportError:
                    self.rejected += 1
                except pynng.Closed:
                    return
                except pynng.NNGException:
                    await asyncio.sleep(0.01)


async def _cancellable(operation: Awaitable[T]) -> T:
    """Await an operation of pynng, and raise CancelledError if pynng suppressed it.

    pynng loses a cancellation that comes as the operation completes.
    """
    task = asyncio.current_task()
    cancels = task.cancelling() if task else 0
    result = await operation
    if task and task.cancelling() > cancels:
        raise asyncio.CancelledError
    return result

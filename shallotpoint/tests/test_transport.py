"""A cancellation is kept if it coincides with the end of a pynng operation.

pynng then returns the result and suppresses the cancellation.  A listener would never
stop, and a request would wait for its reply beyond its timeout.
"""

import asyncio
import contextlib
import time

import pynng

from shallotpoint.coordination.transport import (
    MessageAuthenticator,
    NngTransport,
    TransportError,
)
from shallotpoint.testing.cases import TestCase

AUTHENTICATOR = MessageAuthenticator(b"secret")
SOCKET_WAIT_S = 0.2


def block_loop_while_sockets_finish():
    """Block the event loop while the threads of pynng complete their operations."""
    time.sleep(SOCKET_WAIT_S)


@contextlib.contextmanager
def raw_peer():
    """Listen without replying; yield the socket and its address."""
    with pynng.Rep0() as socket:
        port = socket.listen("tcp://127.0.0.1:0").local_address
        yield socket, str(port).removeprefix("tcp://")


async def echo(message):
    return message


class CancelRaceTests(TestCase):
    def test_listener_stops_while_a_request_arrives(self):
        async def main():
            transport = NngTransport(AUTHENTICATOR)
            async with transport.listening("127.0.0.1:0", echo) as address:
                await asyncio.sleep(0.05)
                with pynng.Req0() as caller:
                    caller.dial(f"tcp://{address}", block=True)
                    caller.send(AUTHENTICATOR.sign(b"hello"))
                    block_loop_while_sockets_finish()
            return "stopped"

        self.assertEqual("stopped", self.run_async(main(), timeout_s=5.0))

    def test_request_times_out_if_its_send_completes_at_the_deadline(self):
        async def main():
            transport = NngTransport(AUTHENTICATOR)
            with raw_peer() as (_, address):
                transport._socket(address)
                await asyncio.sleep(SOCKET_WAIT_S)
                request = asyncio.create_task(
                    transport.request(address, b"hello", timeout_s=SOCKET_WAIT_S / 2)
                )
                await asyncio.sleep(0)
                block_loop_while_sockets_finish()
                try:
                    await asyncio.wait_for(request, 2.0)
                except TransportError:
                    return "timed out"
                finally:
                    transport.close()

        self.assertEqual("timed out", self.run_async(main(), timeout_s=5.0))

    def test_request_is_cancelled_if_its_reply_arrives_at_the_same_time(self):
        async def main():
            transport = NngTransport(AUTHENTICATOR)
            with raw_peer() as (peer, address):
                request = asyncio.create_task(
                    transport.request(address, b"hello", timeout_s=5.0)
                )
                received = await peer.arecv()
                peer.send(received)
                block_loop_while_sockets_finish()
                request.cancel()
                await asyncio.wait({request})
                transport.close()
                return request.cancelled()

        self.assertTrue(self.run_async(main(), timeout_s=5.0))

"""A cancellation is kept if it coincides with the end of a pynng operation.

pynng then returns the result and suppresses the cancellation.  A listener would never
stop, and a request would wait for its reply beyond its timeout.
"""

import asyncio
import contextlib
import time

import pynng

from shallotpoint.coordination.transport import (
    NngTransport,
    Sealer,
    TransportError,
)
from shallotpoint.testing.cases import TestCase

SEALER = Sealer(b"secret")
SETTLE_S = 0.2


def let_sockets_finish():
    """Block the event loop while the threads of pynng complete their operations."""
    time.sleep(SETTLE_S)


@contextlib.contextmanager
def raw_peer():
    """Listen without replying; yield the socket and its address."""
    with pynng.Rep0() as socket:
        port = socket.listen("tcp://127.0.0.1:0").local_address
        yield socket, str(port).removeprefix("tcp://")


async def echo(message):
    return message


class CancelRaceTests(TestCase):
    def test_stopping_while_a_request_arrives_ends(self):
        async def main():
            transport = NngTransport(SEALER)
            async with transport.listening("127.0.0.1:0", echo) as address:
                await asyncio.sleep(0.05)
                with pynng.Req0() as caller:
                    caller.dial(f"tcp://{address}", block=True)
                    caller.send(SEALER.sign(b"hello"))
                    let_sockets_finish()
            return "stopped"

        self.assertEqual("stopped", self.run_async(main(), timeout_s=5.0))

    def test_a_request_that_is_sent_as_its_time_ends_is_given_up(self):
        async def main():
            transport = NngTransport(SEALER)
            with raw_peer() as (_, address):
                transport._socket(address)
                await asyncio.sleep(SETTLE_S)
                asking = asyncio.create_task(
                    transport.request(address, b"hello", timeout_s=SETTLE_S / 2)
                )
                await asyncio.sleep(0)
                let_sockets_finish()
                try:
                    await asyncio.wait_for(asking, 2.0)
                except TransportError:
                    return "given up"
                finally:
                    transport.close()

        self.assertEqual("given up", self.run_async(main(), timeout_s=5.0))

    def test_a_cancel_hidden_by_a_reply_still_ends_the_caller(self):
        async def main():
            transport = NngTransport(SEALER)
            with raw_peer() as (peer, address):
                asking = asyncio.create_task(
                    transport.request(address, b"hello", timeout_s=5.0)
                )
                peer_got = await peer.arecv()
                peer.send(peer_got)
                let_sockets_finish()
                asking.cancel()
                await asyncio.wait({asking})
                transport.close()
                return asking.cancelled()

        self.assertTrue(self.run_async(main(), timeout_s=5.0))

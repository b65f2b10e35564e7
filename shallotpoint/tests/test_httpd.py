"""Time limits on callers' connections, and answers that are cut."""

import asyncio
import collections
import contextlib
import re
import time

from testtools.matchers import GreaterThan, LessThan

from shallotpoint.callers.exchange import CallerGone, Exchange
from shallotpoint.daemons.route_router import STOP_MARGIN_S
from shallotpoint.httpd import HttpServer, serving
from shallotpoint.loop import run_loop
from shallotpoint.testing.cases import TestCase

HEAD = b"GET / HTTP/1.1\r\nHost: shop.example\r\n"
IDLE_S = 0.4
HEAD_S = 0.2


async def answer(exchange):
    await exchange.send_answer(200, b"{}")


class TalkCase(TestCase):
    def talk(self, scenario, behave=answer):
        async def app(scope, receive, send):
            await behave(Exchange(scope, receive, send, "r1"))

        async def main():
            async with serving(app) as server:
                server.limits.idle_s, server.limits.head_s = IDLE_S, HEAD_S
                self.limits = server.limits
                host, _, port = server.address.rpartition(":")
                reader, writer = await asyncio.open_connection(host, int(port))
                try:
                    return await scenario(reader, writer)
                finally:
                    writer.close()

        return self.run_async(main())


class LimitTests(TalkCase):
    async def time_to_end(self, reader):
        started_s = time.monotonic()
        with contextlib.suppress(ConnectionError):
            while await asyncio.wait_for(reader.read(4096), 3.0):
                pass
        return time.monotonic() - started_s

    def test_connection_without_a_request_ends_after_the_idle_time(self):
        async def scenario(reader, writer):
            return await self.time_to_end(reader)

        took_s = self.talk(scenario)
        self.assertThat(took_s, GreaterThan(IDLE_S / 2))
        self.assertThat(took_s, LessThan(3 * IDLE_S))

    def test_kept_connection_ends_after_the_idle_time(self):
        async def scenario(reader, writer):
            writer.write(HEAD + b"\r\n")
            return await self.time_to_end(reader)

        took_s = self.talk(scenario)
        self.assertThat(took_s, GreaterThan(IDLE_S / 2))
        self.assertThat(took_s, LessThan(3 * IDLE_S))

    def check_longer_idle_time(self, first_request):
        async def scenario(reader, writer):
            writer.write(first_request)
            await asyncio.sleep(IDLE_S / 2)
            self.limits.idle_s = 3 * IDLE_S
            await asyncio.sleep(1.5 * IDLE_S)
            writer.write(HEAD + b"\r\n")
            started_s = time.monotonic()
            raw = b""
            while data := await asyncio.wait_for(reader.read(4096), 5.0):
                raw += data
            return raw.count(b"HTTP/1.1 200 OK\r\n"), time.monotonic() - started_s

        answers, took_s = self.talk(scenario)
        self.assertEqual(2 if first_request else 1, answers)
        self.assertThat(took_s, GreaterThan(2 * IDLE_S))
        self.assertThat(took_s, LessThan(6 * IDLE_S))

    def test_longer_idle_time_holds_for_a_kept_connection(self):
        # Guards against a connection that is closed by the limit of an earlier
        # configuration while its caller may use it.
        self.check_longer_idle_time(HEAD + b"\r\n")

    def test_longer_idle_time_holds_for_a_connection_without_a_request(self):
        self.check_longer_idle_time(b"")

    def test_slow_head_ends_the_connection(self):
        async def scenario(reader, writer):
            writer.write(HEAD)
            return await self.time_to_end(reader)

        self.assertThat(self.talk(scenario), LessThan(IDLE_S))

    def test_head_in_parts_within_its_time_is_answered(self):
        async def scenario(reader, writer):
            writer.write(HEAD)
            await asyncio.sleep(HEAD_S / 2)
            writer.write(b"\r\n")
            return await reader.readline()

        self.assertEqual(b"HTTP/1.1 200 OK\r\n", self.talk(scenario))

    def test_slow_second_head_does_not_cut_the_answer_to_the_first(self):
        async def slowly(exchange):
            await asyncio.sleep(3 * HEAD_S)
            await answer(exchange)

        async def scenario(reader, writer):
            writer.write(HEAD + b"\r\n" + HEAD)
            return await reader.readline()

        self.assertEqual(b"HTTP/1.1 200 OK\r\n", self.talk(scenario, slowly))


class CutTests(TalkCase):
    def test_cut_answer_has_no_end_and_logs_no_fault_of_the_server(self):
        async def half(exchange):
            await exchange.send_headers(200, [])
            await exchange.write(b"half")
            await exchange.abort()

        async def scenario(reader, writer):
            writer.write(HEAD + b"\r\n")
            raw = b""
            with contextlib.suppress(ConnectionError):
                while data := await asyncio.wait_for(reader.read(4096), 3.0):
                    raw += data
            await asyncio.sleep(0.05)
            return raw

        with self.assertNoLogs("uvicorn.error", level="ERROR"):
            raw = self.talk(scenario, half)
        self.assertFalse(raw.endswith(b"0\r\n\r\n"), raw)


class ParsedRequestTests(TestCase):
    """What the application receives for the bytes that a caller sends."""

    def receive(self, *connections):
        """Send segments on each connection, of which the last request closes it.

        Returns
        -------
        list of tuple
            For each connection, the requests that the application received (method,
            path, headers, body), and the raw answers.
        """
        received = collections.defaultdict(list)

        async def app(scope, receive, send):
            exchange = Exchange(scope, receive, send, "r1")
            with contextlib.suppress(CallerGone):
                body = await exchange.read_body(max_bytes=1 << 20, timeout_s=1.0)
                headers = dict(scope["headers"])
                request = scope["method"], scope["path"], headers, body
                received[scope["client"][1]].append(request)
                await exchange.send_answer(200, b"{}")

        async def talk(address, segments):
            host, _, port = address.rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            own_port = writer.get_extra_info("sockname")[1]
            answers = b""
            with contextlib.suppress(ConnectionError):
                for segment in segments:
                    writer.write(segment)
                    await asyncio.sleep(0.002)
                answers = await asyncio.wait_for(reader.read(), 3.0)
            writer.close()
            return received[own_port], answers

        async def main():
            async with serving(app) as server:
                talks = [talk(server.address, segments) for segments in connections]
                return await asyncio.gather(*talks)

        return self.run_async(main())

    run_loop = staticmethod(run_loop)

    def test_unasked_body_of_a_request_that_offers_an_upgrade_is_its_body(self):
        # Guards against review case 2: the body ran as a request of its own.
        quoted = b"POST /quoted HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nno"
        cases = []
        for offer in (
            b"Connection: Upgrade, Settings\r\nUpgrade: h2c\r\nSettings: AA",
            b"Upgrade: websocket\r\nConnection: keep-alive, upgrade",
            b"Connection: upgrade\r\nUpgrade: a/1\r\nUpgrade: b",
        ):
            for framing, body in (
                (b"Content-Length: %d" % len(quoted), quoted),
                (
                    b"Transfer-Encoding: chunked",
                    b"%x\r\n%s\r\n0\r\n\r\n" % (len(quoted), quoted),
                ),
            ):
                first = b"POST /first?a=b HTTP/1.1\r\nHost: h\r\n%s\r\n%s\r\n\r\n%s"
                raw = first % (offer, framing, body)
                raw += b"PUT /second HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
                cases += [(raw[:cut], raw[cut:]) for cut in range(len(raw))]
        for case, (received, answers) in zip(cases, self.receive(*cases), strict=True):
            self.assertEqual(
                [("POST", "/first", quoted), ("PUT", "/second", b"")],
                [(method, path, body) for method, path, _, body in received],
                case,
            )
            self.assertEqual(2, answers.count(b"HTTP/1.1 200 OK"), case)

    def test_offer_of_an_upgrade_is_dropped_and_other_headers_are_kept(self):
        raw = (
            b"GET / HTTP/1.1\r\nHost: h\r\nUpgrade: h2c\r\n"
            b"Connection: upgrade, close\r\nX-One: a\tb \xe9\r\nX-Empty:\r\n\r\n"
        )
        [([(_, _, headers, _)], _)] = self.receive([raw])
        self.assertNotIn(b"upgrade", headers)
        self.assertEqual(b"a\tb \xe9", headers[b"x-one"])
        self.assertEqual(b"", headers[b"x-empty"])

    def test_trailers_are_dropped(self):
        # Guards against a trailer that replaces the id or the model of its request.
        head = (
            b"POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\nX-Id: own\r\n"
            b"Transfer-Encoding: chunked\r\nTrailer: X-Id\r\n\r\n2\r\nhi\r\n0\r\n"
        )
        raw = head + b"X-Id: other\r\nX-More: x\r\n\r\n"
        cases = [(raw[:cut], raw[cut:]) for cut in range(len(raw))]
        for case, (received, answers) in zip(cases, self.receive(*cases), strict=True):
            [(_, _, headers, body)] = received
            self.assertEqual(b"hi", body)
            self.assertEqual(b"own", headers[b"x-id"], case)
            self.assertNotIn(b"x-more", headers, case)
            self.assertTrue(answers.startswith(b"HTTP/1.1 200 "), answers)

    def test_mixed_refusal_waits_for_the_answers_before_it(self):
        # Guards against a 400 that is taken for the answer to a request that runs.
        sound = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi"
        for faulty in (
            b"POST / HTTP/1.1\r\nContent-Length: x\r\n\r\n",
            b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
        ):
            raw = 2 * sound + faulty + sound
            [(received, answers)] = self.receive([raw])
            self.assertEqual([b"hi", b"hi"], [body for *_, body in received])
            self.assertEqual(
                [b"200", b"200", b"400"], re.findall(rb"HTTP/1.1 (\d+)", answers)
            )

    def test_body_that_cannot_be_read_gets_one_answer(self):
        head = b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
        [(received, answers)] = self.receive([head, b"2\r\nhi\r\n", b"zz\r\n"])
        self.assertEqual([], received)
        self.assertEqual([b"400"], re.findall(rb"HTTP/1.1 (\d+)", answers))

    def test_tunnels_are_refused(self):
        raw = b"CONNECT h:1 HTTP/1.1\r\nHost: h\r\n\r\nxx"
        [(received, answers)] = self.receive([raw])
        self.assertEqual([], received)
        self.assertTrue(answers.startswith(b"HTTP/1.1 400 "), answers)


class StopTests(TestCase):
    def test_requests_that_do_not_end_hold_a_stop_for_its_grace_time_only(self):
        async def behave(scope, receive, send):
            exchange = Exchange(scope, receive, send, "r1")
            await exchange.send_headers(200, [])
            await exchange.write(b"x")
            await asyncio.sleep(60.0)

        async def main():
            server = HttpServer(behave, host="127.0.0.1")
            await server.start()
            host, _, port = server.address.rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(HEAD + b"\r\n")
            await reader.readuntil(b"\r\n\r\n")
            started_s = time.monotonic()
            await server.stop(grace_s=0.3)
            writer.close()
            return time.monotonic() - started_s

        # The platform kills a router this long after it has stopped.
        self.assertThat(self.run_async(main()), LessThan(STOP_MARGIN_S))

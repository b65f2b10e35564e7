"""The daemon as its own process, TLS, and the event loop."""

import asyncio
import datetime
import ipaddress
import os
import ssl
import tempfile
from pathlib import Path

import aiohttp
import uvloop
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

from shallotpoint.bench.processes import KEY, operate, router, standin, wait_up
from shallotpoint.httpd import HttpServer
from shallotpoint.loop import run_loop
from shallotpoint.settings import ClientTLS, ServerTLS
from shallotpoint.standins.engine import EngineStandin
from shallotpoint.testing.cases import TestCase
from shallotpoint.tls import client_context, reload_certificates, server_context
from shallotpoint.upstreams.client import (
    Timeouts,
    UpstreamClient,
    UpstreamRequest,
    read_response_body,
)


def free_ports(count):
    import socket

    socks = [socket.socket() for _ in range(count)]
    for sock in socks:
        sock.bind(("127.0.0.1", 0))
    ports = [sock.getsockname()[1] for sock in socks]
    for sock in socks:
        sock.close()
    return tuple(ports)


def write_certificate(folder, serial):
    key = ec.generate_private_key(ec.SECP256R1())
    name = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, "localhost")])
    now = datetime.datetime.now(datetime.UTC)
    address = x509.IPAddress(ipaddress.ip_address("127.0.0.1"))
    cert = (
        x509.CertificateBuilder()
        .subject_name(name)
        .issuer_name(name)
        .public_key(key.public_key())
        .serial_number(serial)
        .not_valid_before(now - datetime.timedelta(days=1))
        .not_valid_after(now + datetime.timedelta(days=1))
        .add_extension(x509.SubjectAlternativeName([address]), critical=False)
        .sign(key, hashes.SHA256())
    )
    pem = serialization.Encoding.PEM
    (folder / "cert.pem").write_bytes(cert.public_bytes(pem))
    (folder / "key.pem").write_bytes(
        key.private_bytes(
            pem,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )
    )


class ProcessTests(TestCase):
    def test_sigterm_with_an_open_stream_ends_well(self):
        async def main():
            ports = free_ports(3)
            with (
                standin("kv") as kv,
                standin("hosts") as hosts,
                standin("engine", "--token-ms", "20", "--flat") as engine,
                router("r1", kv.url, hosts.url, ports) as made,
            ):
                async with aiohttp.ClientSession() as session:
                    await wait_up(session, made.url, "/healthz")
                    address = engine.url.removeprefix("http://")
                    for command in (
                        "set class bulk tier=2 ttft=9s share=50%",
                        f"set pool p models=standin upstreams={address} slots=4",
                        f"set organisation o key={KEY} classes=bulk default=bulk",
                    ):
                        reply = await operate(session, ports[1], command)
                        self.assertEqual("accepted", reply["status"])
                    await wait_up(session, made.url, "/readyz")
                    return await self.stream_through_stop(session, made)

        code, raw = self.run_async(main())
        self.assertEqual(0, code)
        self.assertTrue(raw.endswith(b"data: [DONE]\n\n"))

    async def stream_through_stop(self, session, made):
        body = {
            "model": "standin",
            "stream": True,
            "max_tokens": 60,
            "messages": [{"role": "user", "content": "a b"}],
        }
        async with session.post(
            f"{made.url}/v1/chat/completions",
            json=body,
            headers={"authorization": f"Bearer {KEY}"},
        ) as resp:
            first = await resp.content.readany()
            stopping = asyncio.create_task(asyncio.to_thread(made.stop))
            raw = first + await resp.content.read()
        return await stopping, raw


class TLSTests(TestCase):
    def test_upstream_over_tls_and_a_changed_certificate(self):
        async def main(folder):
            write_certificate(folder, 1)
            tls = ServerTLS(str(folder / "cert.pem"), str(folder / "key.pem"))
            context = server_context(tls)
            engine = EngineStandin()
            server = HttpServer(engine.app, host="127.0.0.1", tls=context)
            await server.start()
            reloading = asyncio.create_task(
                reload_certificates(context, tls, every_s=0.05)
            )
            first = await self.ask(server, folder)
            write_certificate(folder, 2)
            await asyncio.sleep(0.3)
            second = await self.ask(server, folder)
            reloading.cancel()
            await server.stop(grace_s=0.5)
            return first, second

        with tempfile.TemporaryDirectory() as folder:
            answers = self.run_async(main(Path(folder)))
        self.assertEqual(((200, 1), (200, 2)), answers)

    async def ask(self, server, folder):
        context = client_context(ClientTLS(ca=str(folder / "cert.pem")))
        client = UpstreamClient(timeouts=Timeouts(), tls=context)
        outgoing = UpstreamRequest("GET", "/v1/models", {}, b"")
        async with client.send(server.address, outgoing, repeatable=True) as resp:
            await read_response_body(resp)
            status = resp.status
        await client.close()
        _, writer = await asyncio.open_connection(
            *server.address.split(":"), ssl=context
        )
        der = writer.get_extra_info("ssl_object").getpeercert(binary_form=True)
        writer.close()
        return status, x509.load_der_x509_certificate(der).serial_number


class LoopTests(TestCase):
    def test_uvloop_runs_without_io_uring(self):
        async def main():
            await asyncio.to_thread(Path("/proc/self/stat").read_text)
            loop = asyncio.get_running_loop()
            links = []
            for number in os.listdir("/proc/self/fd"):
                try:
                    links.append(os.readlink(f"/proc/self/fd/{number}"))
                except OSError:
                    continue
            return isinstance(loop, uvloop.Loop), links

        is_uvloop, links = run_loop(main())
        self.assertTrue(is_uvloop)
        self.assertEqual("0", os.environ["UV_USE_IO_URING"])
        self.assertEqual([], [link for link in links if "io_uring" in link])

    def test_default_context_checks_certificates(self):
        self.assertIsNone(client_context(ClientTLS()))
        self.assertIsNone(server_context(ServerTLS()))
        with tempfile.TemporaryDirectory() as folder:
            write_certificate(Path(folder), 3)
            context = client_context(ClientTLS(ca=f"{folder}/cert.pem"))
        self.assertIs(ssl.CERT_REQUIRED, context.verify_mode)

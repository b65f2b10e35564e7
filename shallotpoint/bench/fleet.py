"""``bench fleet``: changes in force, credits reached, control cost by size.

Routers' control parts (board, peers, credits, configuration) run in one process
over pynng on loopback, without callers, so that their slopes can be measured.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import random
import resource
import time
from collections.abc import Sequence
from dataclasses import dataclass
from functools import partial

from shallotpoint.bench.cli import register
from shallotpoint.bench.policy_bench import print_line
from shallotpoint.bench.report import percentile
from shallotpoint.controllers.sections import pool_of
from shallotpoint.coordination.config import ConfigState, ConfigStore, Edit
from shallotpoint.coordination.credit_parts import PartReader, PartWriter
from shallotpoint.coordination.credit_rows import PeerCredits
from shallotpoint.coordination.credits import CreditLedger
from shallotpoint.coordination.gossip import Board
from shallotpoint.coordination.ledger import OnceLedger
from shallotpoint.coordination.memory_kv import MemoryKeyValue
from shallotpoint.coordination.overlay import neighbours
from shallotpoint.coordination.peers import ConfigPort, Peers
from shallotpoint.coordination.transport import MessageAuthenticator, NngTransport
from shallotpoint.daemons.demo import FleetPlan, fleet
from shallotpoint.loop import run_loop
from shallotpoint.operators.desk import Operator
from shallotpoint.policy.actions import Action, Send
from shallotpoint.policy.configuration import ORGANISATIONS, section_name
from shallotpoint.policy.model import ServiceClass
from shallotpoint.policy.scheduler import Scheduler
from shallotpoint.policy.state import Slots
from shallotpoint.policy.ticket import Ticket
from shallotpoint.types import Seconds

GOSSIP_S = 0.25
MEASURE_S = 4.0
SLOPE_TIMEOUT_S = 60.0


def line(metric: str, value: float, unit: str, **fields) -> None:
    """Print one figure of this bench."""
    print_line(metric, round(value, 4), unit=unit, bench="fleet", seed=7, **fields)


# Changes


async def _change_times(faults: dict, changes: int) -> list[Seconds]:
    """Return the time from each accepted change until all routers apply it."""
    plan = FleetPlan(routers=8, engines=1, services=0)
    times: list[Seconds] = []
    async with fleet(plan) as made:
        for name, value in faults.items():
            setattr(made.kv.kv.faults, name, value)
        rng = random.Random(7)
        for index in range(changes):
            router = rng.choice(made.routers)
            started_s = time.monotonic()
            reply = await router.desk.run(
                f"set class counter ttft={1000 + index}ms", Operator("b", True)
            )
            if reply.version is None or reply.message:
                continue
            version = reply.version
            while not all(r.config.state.version >= version for r in made.routers):
                await asyncio.sleep(0.005)
            times.append(time.monotonic() - started_s)
    return times


async def measure_changes() -> None:
    """Print how fast changes are in force on eight routers."""
    times = await _change_times({}, 60)
    line("change.p99.8_routers", percentile(times, 0.99), "s", bound=2.0)
    faults = {"delay_s": 0.5, "lose_answers": 0.33}
    times = await _change_times(faults, 15)
    line("change.p99.8_routers.slow_kv", percentile(times, 0.99), "s", bound=6.0)


async def measure_rest() -> None:
    """Print the calls to the key-value service while nothing changes."""
    for routers in (2, 4, 8):
        async with fleet(FleetPlan(routers=routers, engines=1, services=0)) as made:
            before = sum(r.kv.calls for r in made.routers)
            await asyncio.sleep(MEASURE_S)
            calls = sum(r.kv.calls for r in made.routers) - before
        line(f"rest.kv_calls_per_s.{routers}_routers", calls / MEASURE_S, "1/s")


# Ledger


async def measure_ledger() -> None:
    """Print calls per write at several numbers of concurrent calls."""
    for count in (1, 10, 100):
        kv = MemoryKeyValue(clock=time.monotonic, rng=random.Random(7))
        ledger = OnceLedger(kv, "/once/")
        begun = [
            ledger.record_intent(f"k{i}", "c", f"a{i}", now=time.time())
            for i in range(count)
        ]
        await asyncio.gather(*begun)
        line(f"ledger.calls_per_write.{count}", count / kv.counts.writes, "calls")


# Credits


def measure_reach() -> None:
    """Print how much of an idle fleet's capacity one busy router reaches in 1 s."""
    names = [f"r{i}" for i in range(8)]
    ledgers = {n: CreditLedger(n, 1, settle_s=0.0) for n in names}
    now = 0.0
    for ledger in ledgers.values():
        ledger.configure({"u": 16}, names, now=now)
    for step in range(20):
        now = step / 10
        if step == 10:
            for name, ledger in ledgers.items():
                ledger.set_usage("u", wanted=16 if name == "r0" else 0, running=0)
        for ledger in ledgers.values():
            ledger.rebalance(now=now)
        rows = {n: PeerCredits(1, led.row(now=now)) for n, led in ledgers.items()}
        for name, ledger in ledgers.items():
            for peer, row in rows.items():
                if peer != name:
                    ledger.receive_row(peer, row, now=now)
    line("credits.reached_in_1s", ledgers["r0"].held("u", now=now) / 16, "part")


# Decisions


def measure_decisions() -> None:
    """Print the time of one decision at 50 upstreams, by queue length."""
    cls = ServiceClass("bulk", tier=2, share=0.5, max_queued=20_000)
    for queued in (100, 1_000, 10_000):
        scheduler = Scheduler()
        scheduler.set_classes({"bulk": cls})
        scheduler.set_upstreams({f"e{i}": Slots(2, 2) for i in range(50)})
        for index in range(queued + 100):
            org = f"o{index % 200}"
            scheduler.offer(Ticket(f"t{index}", cls, org, 0.0), 0.0)
        running = _sent(scheduler.poll(0.0))
        for ticket_id, upstream in running:
            scheduler.progress(ticket_id, upstream, 1, 0.1)
        started_s = time.perf_counter()
        rounds = 1_000
        for index in range(rounds):
            now = 1.0 + index / 1_000
            ticket_id, upstream = running.pop()
            scheduler.finished(ticket_id, upstream, now)
            name = f"n{index}"
            scheduler.offer(Ticket(name, cls, f"o{index % 200}", now), now)
            for sent_id, upstream in _sent(scheduler.poll(now)):
                scheduler.progress(sent_id, upstream, 1, now)
                running.insert(0, (sent_id, upstream))
        per_s = (time.perf_counter() - started_s) / rounds
        line(f"decision.{queued}_queued", per_s * 1e6, "us", bound=100.0)


def _sent(actions: Sequence[Action]) -> list[tuple[str, str]]:
    return [(a.ticket.id, a.upstream) for a in actions if isinstance(a, Send)]


# Slopes


@dataclass(slots=True)
class _Node:
    board: Board
    peers: Peers
    ledger: CreditLedger
    transport: NngTransport
    address: str = ""


class _ConfigHolder:
    def __init__(self) -> None:
        self.state = ConfigState()

    def offer(self, sections) -> None:
        for section in sections:
            self.state = self.state.merged(section)


async def _slope(routers: int, upstreams: int) -> None:
    """Run the control parts of some routers and print what one of them costs."""
    async with contextlib.AsyncExitStack() as stack:
        nodes = await _start_nodes(stack, routers)
        names = [node.board.name for node in nodes]
        capacities = {f"p/u{i}": 16 for i in range(upstreams)}
        started_s = time.process_time()
        for node in nodes:
            node.ledger.configure(capacities, names, now=time.monotonic())
        configure_s = (time.process_time() - started_s) / routers
        addresses = {node.board.name: node.address for node in nodes}
        tasks = [asyncio.create_task(_control(n, names, addresses)) for n in nodes]
        await asyncio.sleep(1.5)
        cpu_s = time.process_time()
        sent = sum(n.peers.stats.sent_bytes for n in nodes)
        count = sum(n.peers.stats.sent for n in nodes)
        await asyncio.sleep(MEASURE_S)
        used = (time.process_time() - cpu_s) / MEASURE_S / routers
        sent = sum(n.peers.stats.sent_bytes for n in nodes) - sent
        count = sum(n.peers.stats.sent for n in nodes) - count
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
    where = f"{routers}_routers.{upstreams}_upstreams"
    line(f"control.cpu.{where}", used * 100, "percent of a core")
    line(f"control.bytes.{where}", sent / MEASURE_S / routers / 1_000, "kB/s")
    line(f"control.messages.{where}", count / MEASURE_S / routers, "1/s")
    line(f"control.members_change.{where}", configure_s * 1e3, "ms")


async def _start_nodes(stack, routers: int) -> list[_Node]:
    nodes = []
    for index in range(routers):
        name = f"r{index}"
        board = Board(name, 1)
        holder = _ConfigHolder()
        transport = NngTransport(MessageAuthenticator(b"bench"))
        ledger = CreditLedger(name, 1, settle_s=0.0, group_of=pool_of)

        def take(rows, ledger=ledger, reader=PartReader(name)) -> None:
            for row in rows:
                reader.add_part(row.origin, row.incarnation, row.topic, row.payload)
            for origin in {row.origin for row in rows}:
                credits = reader.row(origin)
                if credits is not None:
                    ledger.receive_row(origin, credits, now=time.monotonic())

        async def answer(raw: bytes) -> bytes:
            return raw

        peers = Peers(
            board,
            transport,
            config=ConfigPort(partial(getattr, holder, "state"), holder.offer),
            answer_query=answer,
            clock=time.monotonic,
            rng=random.Random(index),
            on_rows=take,
        )
        node = _Node(board, peers, ledger, transport)
        stack.callback(transport.close)
        node.address = await stack.enter_async_context(
            transport.listening("127.0.0.1:0", peers.handle)
        )
        nodes.append(node)
    return nodes


async def _control(node: _Node, names: list[str], addresses: dict[str, str]) -> None:
    """Tick credits with changing use, and exchange with the neighbours."""
    rng = random.Random(node.board.name)
    writer = PartWriter()
    chosen = neighbours(node.board.name, names)
    targets = {n: addresses[n] for n in chosen}
    exchanging = asyncio.create_task(
        node.peers.run(lambda: targets, interval_s=GOSSIP_S)
    )
    try:
        while True:
            now = time.monotonic()
            for key in rng.sample(sorted(node.ledger.row(now=now).usage), 5):
                node.ledger.set_usage(key, wanted=rng.randint(0, 3), running=0)
            node.ledger.rebalance(now=now)
            for topic, part in writer.encode_changed(node.ledger.row(now=now)).items():
                node.board.publish(topic, part, now=now)
            await asyncio.sleep(GOSSIP_S)
    finally:
        exchanging.cancel()


async def _stored_size() -> None:
    """Print the sizes of the configuration at the target."""
    kv = MemoryKeyValue(clock=time.monotonic, rng=random.Random(7))
    store = ConfigStore(kv, "/c/", rng=random.Random(8))
    fields = {
        "key_hash": "0" * 64,
        "classes": ["counter", "lookup", "fitting", "overnight"],
        "default_class": "counter",
        "weight": 1.0,
    }
    state = ConfigState()
    for index in range(2_000):
        name = f"organisation-{index}"
        edit = Edit(section_name(ORGANISATIONS, name), name, fields)
        state = state.merged(await store.change(edit, state))
    sizes = [len(s.to_versioned().body) for s in state.sections.values()]
    line("config.largest_section.2000_organisations", max(sizes) / 1e3, "kB")
    line("config.all_sections.2000_organisations", sum(sizes) / 1e3, "kB")


async def measure_slopes() -> None:
    """Print the control cost of one router over sizes."""
    sizes = [(8, 10), (8, 300), (8, 1_000), (4, 100), (8, 100)]
    sizes += [(16, 100), (32, 100), (64, 100)]
    for routers, upstreams in sizes:
        try:
            async with asyncio.timeout(SLOPE_TIMEOUT_S):
                await _slope(routers, upstreams)
        except TimeoutError:
            where = f"{routers}_routers.{upstreams}_upstreams"
            line(f"control.timed_out.{where}", SLOPE_TIMEOUT_S, "s")
    await _stored_size()
    peak = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    line("resident_peak.64_control_parts", peak / 1e3, "MB")


@register("fleet")
def bench_fleet(args: argparse.Namespace) -> int:
    """Print all figures of this bench."""
    measure_decisions()
    measure_reach()
    run_loop(measure_ledger())
    run_loop(measure_changes())
    run_loop(measure_rest())
    run_loop(measure_slopes())
    return 0

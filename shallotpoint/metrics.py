"""Counters and histograms of one router, through aioprometheus."""

from __future__ import annotations

from aioprometheus import Counter, Gauge, Histogram, Registry
from aioprometheus.renderer import render

from shallotpoint.results import RESULTS, Kind, Result, status_name
from shallotpoint.types import Seconds

_TIME_BUCKETS_S = [0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 15.0, 60.0]
_TOKEN_BUCKETS_S = [0.005, 0.01, 0.02, 0.03, 0.046, 0.07, 0.1, 0.25, 1.0]


class Metrics:
    """All metrics of one router; names start with ``shallotpoint_``."""

    def __init__(self) -> None:
        self._registry = Registry()
        self.requests = self._counter(
            "requests_total", "Requests that ended, by class and result."
        )
        self.refusals = self._counter(
            "refusals_total", "Requests that were not run, by class and reason."
        )
        self.retries = self._counter(
            "retries_total", "Second and further attempts, by pool and reason."
        )
        self.prefix_copies = self._counter(
            "prefix_copies_total",
            "Attempts that named an engine to copy a cached prefix from, by pool.",
        )
        self.tokens = self._counter(
            "tokens_total", "Tokens delivered, by class and organisation."
        )
        self.wasted = self._counter(
            "wasted_tokens_total", "Tokens generated and not delivered, by pool."
        )
        self.peer_messages = self._counter(
            "peer_messages_total", "Peer messages, by kind."
        )
        self.peer_bytes = self._counter("peer_bytes_total", "Peer bytes, by kind.")
        self.kv_calls = self._counter(
            "kv_calls_total", "Calls to the key-value service, by outcome."
        )
        self.usage_windows = self._counter(
            "usage_windows_total",
            "Windows of usage that this router reported, reported late or missed.",
        )
        self.wait = self._histogram("wait_seconds", "Time in a queue, by class.")
        self.ttft = self._histogram(
            "ttft_seconds", "Time to first token, by class and upstream."
        )
        self.tbt = self._histogram(
            "tbt_seconds",
            "Mean time between tokens of a stream, by class and upstream.",
            _TOKEN_BUCKETS_S,
        )
        self.queued = self._gauge("queued", "Requests that wait, by pool and class.")
        self.running = self._gauge("running", "Requests upstream, by pool and class.")
        self.credits = self._gauge("credits", "Slots held, by pool and upstream.")
        self.listener_refusals = self._counter(
            "listener_refusals_total",
            "Requests and connections that listeners refused, by reason.",
        )
        self.held_bytes = self._gauge(
            "caller_held_bytes", "Memory that requests and connections are charged."
        )
        self.connections = self._gauge("connections", "Open connections, by address.")
        self.paced = self._gauge(
            "paced_upstreams", "Upstreams below full pace, by pool and cause."
        )
        self.config_version = self._gauge("config_version", "Version in force.")
        self.servers_wanted = self._gauge(
            "servers_wanted", "Servers last ordered, by pool, data centre and kind."
        )
        self.servers_running = self._gauge(
            "servers_running", "Servers ready, by pool, data centre and kind."
        )
        self.server_orders = self._counter(
            "server_orders_total",
            "Orders of servers, by pool, data centre, kind and outcome.",
        )
        self._start_reasons()

    def ended(self, class_name: str, result: Result) -> None:
        """Count a request that ended."""
        name = status_name(result)
        self.requests.inc({"class": class_name, "result": name})
        if RESULTS[result].kind is Kind.REFUSAL:
            self.refusals.inc({"class": class_name, "reason": name})

    def refused_by_listener(self, reason: str) -> None:
        """Count what a listener refused."""
        self.listener_refusals.inc({"reason": reason})

    def retried(self, pool: str, reason: Result) -> None:
        """Count another attempt."""
        self.retries.inc({"pool": pool, "reason": status_name(reason)})

    def streamed(
        self, class_name: str, upstream: str, ttft_s: Seconds, tbt_s: Seconds | None
    ) -> None:
        """Note the times of one answer."""
        labels = {"class": class_name, "upstream": upstream}
        self.ttft.observe(labels, ttft_s)
        if tbt_s is not None:
            self.tbt.observe(labels, tbt_s)

    def render(self) -> tuple[bytes, dict[str, str]]:
        """Return the exposition text and its headers."""
        return render(self._registry, ["text/plain"])

    def _start_reasons(self) -> None:
        """Show every refusal and retry reason from the start, at zero."""
        for result, info in RESULTS.items():
            name = status_name(result)
            if info.kind is Kind.REFUSAL:
                self.refusals.set({"class": "", "reason": name}, 0)
            elif info.kind is Kind.RETRY:
                self.retries.set({"pool": "", "reason": name}, 0)

    def _counter(self, name: str, doc: str) -> Counter:
        return Counter(f"shallotpoint_{name}", doc, registry=self._registry)

    def _gauge(self, name: str, doc: str) -> Gauge:
        return Gauge(f"shallotpoint_{name}", doc, registry=self._registry)

    def _histogram(
        self, name: str, doc: str, buckets: list[float] | None = None
    ) -> Histogram:
        return Histogram(
            f"shallotpoint_{name}",
            doc,
            registry=self._registry,
            buckets=buckets or _TIME_BUCKETS_S,
        )

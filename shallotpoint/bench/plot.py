"""Plots of one run: attainment, waits and queue lengths over time by class."""

from __future__ import annotations

import matplotlib

from shallotpoint.bench.report import by_class, percentile, ttft_attainment
from shallotpoint.bench.world import RunResult

matplotlib.use("Agg")

import matplotlib.pyplot as plt  # noqa: E402

BIN_S = 3


def plot_run(result: RunResult, path: str) -> None:
    """Write a PNG of a run."""
    figure, axes = plt.subplots(4, 1, figsize=(11, 12), sharex=True)
    end_s = int(result.workload.length_s)
    starts = range(0, end_s, BIN_S)
    axes[0].step(range(len(result.levels)), result.levels, where="post")
    axes[0].set_ylabel("demand / capacity")
    for name, fates in by_class(result).items():
        bins = [
            [f for f in fates if start <= f.arrival.at_s < start + BIN_S]
            for start in starts
        ]
        attained = [ttft_attainment(part) for part in bins]
        waits = [
            percentile([f.sent_s - f.arrival.at_s for f in part if f.sent_s], 0.95)
            for part in bins
        ]
        axes[1].plot(starts, attained, label=name)
        axes[2].plot(starts, waits, label=name)
        axes[3].plot(
            [s.at_s for s in result.samples],
            [s.waiting[name] for s in result.samples],
            label=name,
        )
    for axis, label in zip(
        axes[1:], ("attained", "p95 wait, s", "queued"), strict=True
    ):
        axis.set_ylabel(label)
        axis.legend(loc="upper right", fontsize=8)
    axes[3].set_xlabel("time, s")
    figure.tight_layout()
    figure.savefig(path)
    plt.close(figure)

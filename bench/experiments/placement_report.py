"""Table and plot of the experiment on the placement of requests."""

from pathlib import Path

from bench.experiments import placement
from bench.experiments.placement import LOADS, WARM_UP_S, Placement

PLOTTED_LOADS = ("calm, 60 slots", "calm, 40 slots", "objective of 1 s")
HEADERS = (
    "load",
    "busiest / mean",
    "utilization spread",
    "credit",
    "asked",
    "refusals",
    "with a free slot",
    "unanswered",
    "expected / true service time",
)


def write(seeds: range, plot_path: Path) -> list[str]:
    """Run the experiment and write its plot; return the lines of its report."""
    placements = {name: [placement.place(load, seed) for seed in seeds] for name, load in LOADS.items()}
    lines = [f"# {placement.__doc__}", *_table(placements), ""]
    lines += [
        f"Each value is the worst seed's; the first {WARM_UP_S} s don't count for the first two.",
        "The plot is that of the first seed.",
        "",
    ]
    _plot(placements, plot_path)
    return lines


def _table(placements: dict[str, list[Placement]]) -> list[str]:
    lines = ["| " + " | ".join(HEADERS) + " |", "| --- " * len(HEADERS) + "|"]
    for name, results in placements.items():
        relative_time = max(item.expected_service_time for item in results) / LOADS[name].work
        cells = [
            f"{max(item.busiest_over_mean for item in results):.2f}",
            f"{max(item.utilization_spread for item in results):.2f}",
            f"{min(item.result.credit_share for item in results):.3f}",
            str(max(item.result.asked for item in results)),
            str(max(item.result.rejections for item in results)),
            str(max(item.result.needless_rejections for item in results)),
            str(max(item.result.timed_out for item in results)),
            f"{relative_time:.2f}",
        ]
        lines.append(f"| {name} | " + " | ".join(cells) + " |")
    return lines


def _plot(placements: dict[str, list[Placement]], path: Path) -> None:
    """Write a plot of each target's share by second to ``path``, one panel per load."""
    import matplotlib.pyplot as plt

    figure, panels = plt.subplots(1, len(PLOTTED_LOADS), figsize=(13, 4), sharey=True)
    for panel, name in zip(panels, PLOTTED_LOADS, strict=True):
        by_target = placements[name][0].requests_by_second
        totals = [max(1, sum(second)) for second in zip(*by_target, strict=True)]
        shares = [
            [count / total for count, total in zip(requests, totals, strict=True)] for requests in by_target
        ]
        panel.stackplot(range(len(totals)), shares)
        panel.set_title(name)
        panel.set_xlabel("seconds")
    panels[0].set_ylabel("share of the requests, by target")
    figure.tight_layout()
    figure.savefig(path, dpi=80)

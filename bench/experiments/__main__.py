"""Runs an experiment and writes its tables and plot: ``python -m bench.experiments shares``."""

import argparse
from pathlib import Path

from bench.experiments import choices_report, placement_report, shares_report

OUTPUT_DIR = Path("docs/experiments")
EXPERIMENTS = {"shares": shares_report, "placement": placement_report, "choices": choices_report}


def main() -> None:
    """Run the experiment that the command line names."""
    parser = argparse.ArgumentParser(prog="python -m bench.experiments", description=__doc__)
    parser.add_argument("name", choices=sorted(EXPERIMENTS))
    parser.add_argument("--seeds", type=int, default=3)
    options = parser.parse_args()
    OUTPUT_DIR.mkdir(parents=True, exist_ok=True)
    report = EXPERIMENTS[options.name].write(range(options.seeds), OUTPUT_DIR / f"{options.name}.png")
    lines = [f"`make experiment NAME={options.name}`, {options.seeds} seeds.", ""]
    lines = [report[0], "", *lines, *report[1:], f"![plot]({options.name}.png)"]
    (OUTPUT_DIR / f"{options.name}.md").write_text("\n".join(lines) + "\n")
    print("\n".join(lines))


if __name__ == "__main__":
    main()

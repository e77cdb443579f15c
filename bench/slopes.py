"""Prints the measured slopes behind docs/CAPACITY.md."""

import asyncio

from bench import slope_processes, slope_rules


def main() -> None:
    """Measure and print all slopes."""
    for slope in slope_rules.run():
        print(slope.line(), flush=True)
    for slope in asyncio.run(slope_processes.run()):
        print(slope.line(), flush=True)


if __name__ == "__main__":
    main()

"""Runs seeds of the soak test in turn: ``python -m bench.routes --seed 1 --seeds 50 --seconds 20``."""

import argparse
import asyncio
import sys

import attrs

from bench.routes.calm import run_calm, run_join
from bench.routes.cluster import SoakOptions
from bench.routes.regressions import REGRESSIONS
from bench.routes.soak import run_soak, run_stop_soak
from bench.routes.stops import GRACE_MARGIN_S, STOP_OPTIONS


def main() -> int:
    """Run the seeds and print the problems; the exit status is 1 when a seed fails."""
    options = _parse_arguments()
    if options.regressions:
        return _run_regressions()
    failed = []
    for seed in range(options.seed, options.seed + options.seeds):
        problems = asyncio.run(_run(seed, options))
        for problem in problems:
            print(f"  {problem}", flush=True)
        if problems:
            failed.append(seed)
    print(f"{options.seeds} seeds from {options.seed}: failed {failed or 'none'}")
    return 1 if failed else 0


def _run_regressions() -> int:
    failed = []
    for case in REGRESSIONS:
        print(f"seed {case.seed}: {case.cause}", flush=True)
        soak = run_stop_soak(case.seed, case.seconds, sends_more_signals=case.sends_more_signals)
        problems = asyncio.run(soak)
        for problem in problems:
            print(f"  {problem}", flush=True)
        if problems:
            failed.append(case.seed)
    print(f"{len(REGRESSIONS)} seeds of planned stops that have failed: failed {failed or 'none'}")
    return 1 if failed else 0


def _parse_arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog="python -m bench.routes", description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--stops", action="store_true", help="planned stops instead of faults")
    parser.add_argument("--calm", action="store_true", help="no faults; equal shares of equal targets")
    parser.add_argument("--join", action="store_true", help="a target that joins in a calm system")
    parser.add_argument("--single-signals", action="store_true", help="one SIGTERM for each stop")
    parser.add_argument("--early-end", type=float, default=0.0, help="seconds by which entries end too early")
    parser.add_argument("--regressions", action="store_true", help="only the seeds that have failed")
    for name in ("entries", "targets", "callers"):
        parser.add_argument(f"--{name}", type=int)
    return parser.parse_args()


async def _run(seed: int, options: argparse.Namespace) -> list[str]:
    if options.join:
        return await run_join(seed, options.seconds)
    if options.calm:
        return await run_calm(seed, options.seconds)
    sizes = {name: getattr(options, name) for name in ("entries", "targets", "callers")}
    sizes = {name: size for name, size in sizes.items() if size}
    if not options.stops:
        return await run_soak(seed, options.seconds, attrs.evolve(SoakOptions(), **sizes))
    grace = STOP_OPTIONS.drain_delay + STOP_OPTIONS.finish_timeout + GRACE_MARGIN_S
    finish_timeout = STOP_OPTIONS.finish_timeout - options.early_end
    settings = attrs.evolve(STOP_OPTIONS, finish_timeout=finish_timeout, **sizes)
    return await run_stop_soak(seed, options.seconds, settings, grace, not options.single_signals)


if __name__ == "__main__":
    sys.exit(main())

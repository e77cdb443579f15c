"""Randomised tests of key ownership and control membership with many seeds, on simulated time."""

import argparse
import sys
import time

from tests.consensus.test_join import RandomMembershipTest
from tests.route_control.test_ownership import OwnershipTest

# Simulated time of one seed of the ownership test.
OWNERSHIP_SECONDS = 60.0
# Changes of members in one seed of the membership test.
MEMBERSHIP_STEPS = 10


def main() -> int:
    """Run seeds in turn for ``--minutes`` and print each that fails; the exit status is 1 when one fails."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--minutes", type=float, default=5.0)
    options = parser.parse_args()
    ownership = OwnershipTest("test_random_faults_never_give_a_key_two_holders")
    membership = RandomMembershipTest("test_acknowledged_payloads_survive_changes_of_members")
    end = time.monotonic() + 60 * options.minutes
    seed = options.seed
    failed = 0
    while time.monotonic() < end:
        for name, run, arguments in (
            ("ownership", ownership.run_faults, (OWNERSHIP_SECONDS,)),
            ("ownership with slow commits", ownership.run_slow_commits, (OWNERSHIP_SECONDS,)),
            ("ownership with slow calls", ownership.run_slow_calls, (OWNERSHIP_SECONDS,)),
            ("membership", membership.run_changes, (MEMBERSHIP_STEPS,)),
        ):
            try:
                run(seed, *arguments)
            except Exception as error:
                failed += 1
                print(f"{name} seed {seed}: {error!r}")
        seed += 1
    print(f"seeds {options.seed} to {seed - 1}: {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())

"""Runs the fault scenarios and prints a line for each check. Exits with 1 if a check failed.

usage: faults.py [--seed N] [--policy naive] [--only NAME]
"""

import argparse
import sys

import scenarios


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--policy", default="buckthornford")
    parser.add_argument("--only", choices=sorted(scenarios.SCENARIOS), action="append")
    options = parser.parse_args()
    failed = 0
    for name in options.only or scenarios.SCENARIOS:
        try:
            checks = scenarios.SCENARIOS[name](options.policy, options.seed, 26000)
        except (TimeoutError, RuntimeError) as error:
            checks = [("the scenario runs to its end", False, str(error))]
        for condition, holds, detail in checks:
            print(f"{'passed' if holds else 'FAILED'}  {name:22} {condition:55} {detail}",
                  flush=True)
            failed += not holds
    print(f"{failed} checks failed, policy {options.policy}, seed {options.seed}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())

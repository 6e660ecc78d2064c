"""Runs the fault scenarios and prints a row for each check. Exits with 1 on a breach."""

import argparse
import sys

import scenarios


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--policy", default="buckthornford")
    parser.add_argument("--only", choices=sorted(scenarios.SCENARIOS), action="append")
    options = parser.parse_args()
    breaches = 0
    for name in options.only or scenarios.SCENARIOS:
        try:
            checks = scenarios.SCENARIOS[name](options.policy, options.seed, 26000)
        except (TimeoutError, RuntimeError) as error:
            checks = [("the scenario runs to its end", False, str(error))]
        for what, holds, figure in checks:
            print(f"{'holds ' if holds else 'BREACH'}  {name:22} {what:55} {figure}", flush=True)
            breaches += not holds
    print(f"{breaches} breaches, policy {options.policy}, seed {options.seed}")
    return 1 if breaches else 0


if __name__ == "__main__":
    sys.exit(main())

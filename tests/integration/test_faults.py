"""The fault scenarios with seed 1; scripts/faults runs them with other seeds.

Checks that depend on the machine's speed are printed by scripts/faults and not judged here.
"""

import unittest

import support  # noqa: F401  (sets the path)
import scenarios

TIMED = {
    "most requests complete",
    "unknown is rare",
    "work stops at all depths when the caller goes away",
}
SEED = 1


class Faults(unittest.TestCase):
    pass


def add_test(name, port):
    def run(self):
        for what, holds, figure in scenarios.SCENARIOS[name]("buckthornford", SEED, port):
            if what not in TIMED:
                with self.subTest(what):
                    self.assertTrue(holds, figure)

    setattr(Faults, f"test_{name}", run)


for index, scenario in enumerate(scenarios.SCENARIOS):
    add_test(scenario, 26000 + 100 * index)


if __name__ == "__main__":
    unittest.main()

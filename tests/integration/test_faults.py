"""The fault scenarios with seed 1; scripts/faults runs them with other seeds.

Checks that depend on the machine's speed are left out here; scripts/faults prints them.
"""

import unittest

import support  # noqa: F401  (sets the module path)
import scenarios

SPEED_DEPENDENT = {
    "most requests complete",
    "at most 5% of the outcomes are unknown",
    "work is stopped at every hop on a caller's disconnect",
}
SEED = 1


class Faults(unittest.TestCase):
    pass


def add_test(name, port):
    def run(self):
        for condition, holds, detail in scenarios.SCENARIOS[name]("buckthornford", SEED, port):
            if condition not in SPEED_DEPENDENT:
                with self.subTest(condition):
                    self.assertTrue(holds, detail)

    setattr(Faults, f"test_{name}", run)


for index, scenario in enumerate(scenarios.SCENARIOS):
    add_test(scenario, 26000 + 100 * index)


if __name__ == "__main__":
    unittest.main()

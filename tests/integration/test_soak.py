"""A short fault soak with one fixed seed and with each seed that failed before, at the same time."""

import pathlib
import subprocess
import sys
import unittest

SOAK = pathlib.Path(__file__).resolve().parent.parent / "soak"
SEED = 1
SECONDS = 6


def regression_seeds():
    lines = (SOAK / "regressions.txt").read_text().splitlines()
    return [int(line.split(":")[0]) for line in lines if line and not line.startswith("#")]


def start(seed):
    command = [sys.executable, str(SOAK / "soak.py"), "--seed", str(seed), "--seconds",
               str(SECONDS)]
    return subprocess.Popen(command, stdout=subprocess.PIPE, stderr=subprocess.STDOUT)


class ShortSoak(unittest.TestCase):
    def test_no_violation_of_a_guarantee(self):
        soaks = {seed: start(seed) for seed in [SEED, *regression_seeds()]}
        for soak in soaks.values():
            self.addCleanup(soak.kill)
        for seed, soak in soaks.items():
            with self.subTest(seed=seed):
                output = soak.communicate(timeout=180)[0]
                self.assertEqual(soak.returncode, 0, output.decode())


if __name__ == "__main__":
    unittest.main()

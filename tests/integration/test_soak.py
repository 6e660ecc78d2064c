"""A short fault soak with one fixed seed and with each seed that failed before."""

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


class ShortSoak(unittest.TestCase):
    def test_no_violation_of_a_guarantee(self):
        for seed in [SEED, *regression_seeds()]:
            with self.subTest(seed=seed):
                command = [sys.executable, str(SOAK / "soak.py"), "--seed", str(seed), "--seconds",
                           str(SECONDS)]
                done = subprocess.run(command, stdout=subprocess.PIPE, stderr=subprocess.STDOUT,
                                      timeout=180)
                self.assertEqual(done.returncode, 0, done.stdout.decode())


if __name__ == "__main__":
    unittest.main()

"""Open connections go silent for good, without a reset, while new ones work."""

import pathlib
import sys
import tempfile
import time
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "soak"))

from deployment import HOST, Deployment, now  # noqa: E402  (sets the path of fleet)

import fleet  # noqa: E402

SEED = 17
INSTANCES = 12  # four of each zone, so that half of the nodes don't watch the configuration
CONVERGE_S = 2.5  # ConvergeMs
CONTACT_S = 3.0  # ContactMs
SETTLE_S = 4.0  # for which the nodes open streams to each other
ROUNDS = 2  # the second one silences the connections that were opened after the first


class SilentConnections(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.deployment = Deployment(INSTANCES, SEED, folder.name)
        self.addCleanup(self.deployment.close)
        self.count = 0
        self.deployment.wait_ready(15)
        fleet.wait_until(self.serves_everywhere, 15, "every node to serve requests")

    def status(self, instance, path):
        self.count += 1
        headers = {"Host": HOST, "X-Request-Id": f"s{self.count}", "X-Deadline-Ms": "2000"}
        return fleet.http("GET", instance.callers, path, headers=headers)[0]

    def serves_everywhere(self):
        return all(self.status(instance, path) == 200 for instance in self.deployment.instances
                   for path in ("/status/x", f"/probe-{self.deployment.version}/x"))

    def silence_connections(self):
        """Silences the open connections between nodes and to the store. Returns the time."""
        for instance in self.deployment.instances:
            for name in instance.links:
                if not name.startswith("upstream"):
                    self.deployment.set_link(name, swallowExisting=True)
        silent = now()
        for instance in self.deployment.instances:
            for name in instance.links:
                self.deployment.set_link(name)
        return silent

    # Guards against: nodes noticed a dead call to the store only by its own timeout, many seconds
    # later, and acted on the version before.
    def test_a_change_reaches_all_nodes_in_time_after_connections_went_silent(self):
        for _ in range(ROUNDS):
            time.sleep(SETTLE_S)
            old = self.deployment.version
            silent = self.silence_connections()
            self.deployment.publish_configuration()
            bound = max(now() + CONVERGE_S, silent + CONTACT_S)
            time.sleep(bound - now())
            for instance in self.deployment.instances:
                with self.subTest(instance=instance.name):
                    self.assertEqual(self.status(instance, f"/probe-{old}/x"), 404)
                    self.assertEqual(self.status(instance, f"/probe-{old + 1}/x"), 200)


if __name__ == "__main__":
    unittest.main()

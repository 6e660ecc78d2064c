"""How many calls a fleet makes to the store, and that it still learns what the store holds."""

import os
import pathlib
import sys
import time
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))

from platform_nodes import (  # noqa: E402
    SAFE, SERVICES, UNSAFE, Node, PlatformTestCase, fleet)
from platform_standins import configuration  # noqa: E402

ADDED_NODES = 12  # in zone a, beside the two that start first
READERS = 4  # two in each of the two zones
STORM = 20  # versions
STORM_GAP_S = 0.25


class StoreCalls(PlatformTestCase):
    first_port = 16000 + os.getpid() % 40 * 128

    def setUp(self):
        super().setUp()
        for index in range(ADDED_NODES):
            node = Node(f"tracker-a{index}", "a", "tracker", self.ports, self.store_address, [],
                        self.folder.name)
            self.nodes.append(node)
            node.start()
        for node in self.nodes:
            fleet.wait_until(node.is_ready, 10, "readiness")
        fleet.wait_until(self.serves_everywhere, 10, "every node to serve requests")

    def write_storm(self):
        """Writes versions in quick succession; the last one has the safe route only."""
        for version in range(10, 10 + STORM):
            is_last = version == 9 + STORM
            routes = [SAFE] if is_last else [SAFE, UNSAFE]
            self.store.put_configuration(configuration(version, routes, SERVICES))
            time.sleep(STORM_GAP_S)

    # Each node read each version: 195 nodes made 11,843 calls on a day with two storms.
    def test_a_storm_of_versions_is_read_by_a_few_nodes_only(self):
        calls = self.store.calls
        self.write_storm()
        self.wait_until_in_force("/status/x", "/affirm/x")
        checks = 2 * (STORM * STORM_GAP_S + 5)  # by all other nodes: two a second
        self.assertLessEqual(self.store.calls - calls, READERS * (STORM + 2) + checks)

    # The readers are those of the fleet's first nodes by a hash, so any node may be one.
    def test_a_version_is_in_force_in_time_though_the_readers_of_a_zone_are_gone(self):
        for node in self.nodes[:4]:
            node.kill()
        gone = self.nodes[:4]
        self.nodes = self.nodes[4:]
        try:
            self.put_configuration(40, [SAFE])
            fleet.wait_until(
                lambda: all(self.send_request(node, "/affirm/x")[0] == 404 for node in self.nodes),
                5, "every node to know that the route is gone")
        finally:
            self.nodes = gone + self.nodes

    def test_an_outage_of_the_store_draws_calls_from_few_nodes(self):
        self.store.set_fault("down")
        time.sleep(2)  # the calls that were open have ended
        calls = self.store.calls
        time.sleep(5)
        # Each reader tries again within 1 to 2 s, each other node once by itself at the most.
        self.assertLessEqual(self.store.calls - calls, READERS * 10 + 2 * 5)
        self.store.set_fault(None)
        self.put_configuration(50, [SAFE])
        self.wait_until_in_force("/status/x", "/affirm/x")


if __name__ == "__main__":
    unittest.main()

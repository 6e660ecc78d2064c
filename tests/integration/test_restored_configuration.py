"""Nodes whose store has come back from a copy: the configuration that they serve by."""

import os
import pathlib
import sys
import time
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))

from platform_nodes import SAFE, UNSAFE, PlatformTestCase  # noqa: E402

OBSERVED_S = 3  # longer than a node waits between two attempts to reach the store


class RestoredConfiguration(PlatformTestCase):
    first_port = 30100 + os.getpid() % 64 * 32

    def setUp(self):
        super().setUp()
        self.copy = self.store.copy()
        for version, routes in ((5, [SAFE]), (7, [SAFE, UNSAFE]), (9, [UNSAFE])):
            self.put_configuration(version, routes)
        self.wait_until_in_force("/affirm/x", "/status/x")

    def check_kept(self):
        """Checks that no node serves by an older configuration than the newest one."""
        end = time.monotonic() + OBSERVED_S
        while time.monotonic() < end:
            for node in self.nodes:
                self.assertEqual(self.send_request(node, "/status/x")[0], 404)
                self.assertEqual(self.send_request(node, "/affirm/x")[0], 200)
            time.sleep(0.05)

    def test_a_configuration_written_after_a_restore_is_missed(self):
        with self.restored_store(self.copy):
            pass
        self.put_configuration(15, [SAFE])
        self.wait_until_in_force("/status/x", "/affirm/x")

    def test_a_node_returns_to_the_configuration_of_the_copy(self):
        with self.restored_store(self.copy):
            pass
        self.check_kept()
        self.store.repeat_lost_writes()
        self.check_kept()

    def test_a_restarted_node_stays_at_the_configuration_of_the_copy(self):
        with self.restored_store(self.copy):
            self.nodes[0].kill()
        self.nodes[0].start()
        self.wait_until_in_force("/affirm/x", "/status/x")
        self.check_kept()


if __name__ == "__main__":
    unittest.main()

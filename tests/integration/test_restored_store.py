"""Nodes whose store has come back from a copy: what they read and write there."""

import os
import pathlib
import sys
import time
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))

from platform_nodes import SAFE, UNSAFE, PlatformTestCase, fleet  # noqa: E402

ROWS_WRITTEN_S = 3  # from the store's return until nodes have written their lost rows again
WINDOW_S = 3
# Four watches (in the new era, after a read, after a write, after a timeout of at least 2 s), a
# read, a write of the node's row, and a retry of each of the two calls that the outage broke.
CALLS_PER_NODE = 8


class RestoredStore(PlatformTestCase):
    first_port = 28000 + os.getpid() % 64 * 32

    def lose_configuration(self):
        """Puts a configuration without /status/ into force. Returns a copy that doesn't hold it."""
        copy = self.store.copy()
        self.put_configuration(9, [UNSAFE])
        self.wait_until_in_force("/affirm/x", "/status/x")
        return copy

    def stored_addresses(self):
        return self.store.values("buckthornford-nodes")

    def test_a_configuration_is_missed_below_the_version_read_before(self):
        copy = self.lose_configuration()
        version_read = self.store.version
        with self.restored_store(copy):
            self.put_configuration(15, [SAFE])
            while self.store.version <= version_read:  # So that the nodes get no status 410.
                self.store.put("other", "key", "")
        self.wait_until_in_force("/status/x", "/affirm/x")

    # The write acknowledged last wins: it is what the operator's bounds are measured from.
    def test_a_version_written_again_with_other_content_is_ignored(self):
        copy = self.lose_configuration()
        with self.restored_store(copy):
            self.put_configuration(9, [SAFE])
        self.wait_until_in_force("/status/x", "/affirm/x")

    def test_a_version_written_again_is_ignored_after_the_copy_was_read(self):
        with self.restored_store(self.lose_configuration()):
            pass
        time.sleep(ROWS_WRITTEN_S)
        self.put_configuration(9, [SAFE])
        self.wait_until_in_force("/status/x", "/affirm/x")

    def test_lost_rows_of_nodes_stay_lost(self):
        addresses = self.stored_addresses()
        self.assertEqual(set(addresses), {node.name for node in self.nodes})
        with self.restored_store(self.copy_without_nodes):
            pass
        fleet.wait_until(lambda: self.stored_addresses() == addresses, ROWS_WRITTEN_S,
                         "the rows of all nodes")

    def test_a_node_started_after_a_restore_finds_no_other(self):
        with self.restored_store(self.copy_without_nodes):
            pass
        time.sleep(ROWS_WRITTEN_S)
        node = self.start_node("tracker", "c")
        fleet.wait_until(lambda: self.send_request(node, "/affirm/x")[0] == 200, 10,
                         "the new node to reach the other service")

    def test_a_restored_store_is_called_in_a_loop(self):
        copy = self.lose_configuration()
        with self.restored_store(copy):
            pass
        for write in (lambda: None, self.store.repeat_lost_writes):
            calls_before = self.store.calls
            write()
            time.sleep(WINDOW_S)
            self.assertLessEqual(self.store.calls - calls_before, CALLS_PER_NODE * len(self.nodes))


if __name__ == "__main__":
    unittest.main()

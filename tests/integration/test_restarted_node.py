"""Nodes that are restarted beside a target that has left: a late heartbeat must not bring it back."""

import os
import pathlib
import sys
import time
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))

from platform_nodes import PlatformTestCase, fleet  # noqa: E402

CONTACT_S = 3.0  # ContactMs: by then a restarted node counts as in touch again
REQUESTS = 40


class RestartedNode(PlatformTestCase):
    first_port = 25000 + os.getpid() % 64 * 32

    def setUp(self):
        super().setUp()
        self.left = next(node for node in self.nodes if node.name == "affirmer-a")
        self.late_heartbeat = self.left.upstream.heartbeat_body()

    def leave(self, call):
        """The target leaves by `call`; it sends no heartbeats any more."""
        self.silent = self.left
        time.sleep(0.3)  # A heartbeat may be under way still.
        body = self.left.upstream.heartbeat_body()
        body["Status"]["State"] = "draining"
        self.assertEqual(self.left.upstream.call(f"instances.{call}", body), 200)

    def restart(self, nodes):
        for node in nodes:
            node.kill()
        for node in nodes:
            node.start()

    def check_left_target_is_not_used(self):
        """A late heartbeat arrives as soon as the node takes it, and once more later on."""
        def deliver():
            return self.left.upstream.call("instances.heartbeat", self.late_heartbeat) == 200

        fleet.wait_until(deliver, 10, "the node to take the late heartbeat")
        for node in self.nodes:
            fleet.wait_until(node.is_ready, 10, "readiness")
        time.sleep(CONTACT_S)
        deliver()
        time.sleep(0.5)
        fleet.wait_until(lambda: self.send_request(self.nodes[0], "/affirm/x")[0] == 200, 10,
                         "service by the other target")
        before = len(self.left.upstream.executions)
        for i in range(REQUESTS):
            self.send_request(self.nodes[i % len(self.nodes)], "/affirm/x", "POST", b"")
        self.assertEqual(len(self.left.upstream.executions) - before, 0)

    # Guards against: the leave was kept only in the memory of the node's process.
    def test_a_deregistered_target_stays_away_after_its_nodes_restart(self):
        self.leave("deregister")
        self.restart([self.left])
        self.check_left_target_is_not_used()

    def test_a_draining_target_stays_away_after_its_nodes_restart(self):
        self.leave("heartbeat")
        self.restart([self.left])
        self.check_left_target_is_not_used()

    # No peer remembers the leave: the store has to.
    def test_a_target_stays_away_after_a_restart_of_all_nodes(self):
        self.leave("deregister")
        self.restart(self.nodes)
        self.check_left_target_is_not_used()

    # The store doesn't take the leave and can't be read: the peers have to tell it.
    def test_a_target_stays_away_after_a_restart_without_the_store(self):
        self.store.set_fault("down")
        self.leave("deregister")
        self.restart([self.left])
        self.check_left_target_is_not_used()

    # The deregistration is the first that the new process hears of the target.
    def test_a_target_that_leaves_at_a_node_that_does_not_know_it_stays_away(self):
        self.silent = self.left
        self.restart([self.left])
        fleet.wait_until(self.left.is_ready, 10, "readiness")
        self.leave("deregister")
        self.check_left_target_is_not_used()

    # Guards against: without a start in it, the deregistration was acknowledged and forgotten.
    def test_a_target_that_leaves_unknown_without_telling_its_start_stays_away(self):
        self.silent = self.left
        self.restart([self.left])
        fleet.wait_until(self.left.is_ready, 10, "readiness")
        self.assertEqual(self.left.upstream.call("instances.deregister"), 200)
        self.check_left_target_is_not_used()

    # Guards against: the heartbeat that waited for the store was taken after the deregistration.
    def test_a_target_that_leaves_while_its_heartbeat_waits_for_the_store_stays_away(self):
        self.silent = self.left
        self.store.set_fault("silent")
        self.restart([self.left])

        def is_taken():
            return self.left.upstream.call("instances.heartbeat", self.late_heartbeat) == 200

        fleet.wait_until(is_taken, 10, "the node to take a heartbeat")
        self.assertEqual(self.left.upstream.call("instances.deregister"), 200)
        time.sleep(2)
        self.store.set_fault(None)
        self.check_left_target_is_not_used()

    # Guards against: once a target beside the node had left, its successors' deregistrations
    # without a start had no effect, without any restart.
    def test_a_successor_that_leaves_without_telling_its_start_stays_away(self):
        self.leave("deregister")
        self.left.upstream.born += 1000
        self.left.upstream.sequence = 0
        self.silent = None
        time.sleep(1)
        self.silent = self.left
        time.sleep(0.5)
        self.late_heartbeat = self.left.upstream.heartbeat_body()
        self.assertEqual(self.left.upstream.call("instances.deregister"), 200)
        self.check_left_target_is_not_used()

    def test_the_next_start_of_a_target_that_left_is_used(self):
        self.leave("deregister")
        self.restart([self.left])
        fleet.wait_until(self.left.is_ready, 10, "readiness")
        self.left.upstream.born += 1000
        self.left.upstream.sequence = 0
        self.silent = None
        before = len(self.left.upstream.executions)

        def is_used():
            self.send_request(self.nodes[0], "/affirm/x", "POST", b"")
            return len(self.left.upstream.executions) > before

        fleet.wait_until(is_used, 10, "requests at the next start of the target")


if __name__ == "__main__":
    unittest.main()

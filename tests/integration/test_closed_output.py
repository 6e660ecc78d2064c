"""Nodes whose standard output is closed, by its reader or from the start."""

import os
import pathlib
import signal
import subprocess
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))

import unittest  # noqa: E402

from platform_nodes import PlatformTestCase, fleet  # noqa: E402


class ClosedOutput(PlatformTestCase):
    first_port = 27500 + os.getpid() % 32 * 32

    def restart(self, node, **options):
        node.kill()
        environment = dict(os.environ, BUCKTHORNFORD_NODE_FILE=str(node.file))
        program = str(fleet.BIN / "buckthornford-platform-node")
        node.process = subprocess.Popen([program], env=environment, **options)
        fleet.wait_until(node.is_ready, 10, "readiness")

    def check_serves(self, node):
        for _ in range(20):
            self.send_request(node, "/status/x")
            self.send_request(node, "/nowhere/x")  # Refused, which is logged.
        node.process.send_signal(signal.SIGHUP)  # The reload is logged, whatever the rate.
        time.sleep(0.5)
        self.assertIsNone(node.process.poll(), "the node's process has ended")
        self.assertEqual(self.send_request(node, "/status/x")[0], 200)

    # Guards against: the first line written after the reader had gone ended the process.
    def test_a_reader_that_goes_away_ends_no_process(self):
        node = self.nodes[0]
        self.restart(node, stdout=subprocess.PIPE, stderr=node.log)
        node.process.stdout.close()
        self.check_serves(node)

    # Guards against: a connection got the number of the standard output, and lines were sent on it.
    def test_a_closed_standard_output_is_no_connection(self):
        node = self.nodes[0]
        self.restart(node, stderr=node.log, preexec_fn=lambda: os.close(1))
        self.assertEqual(os.readlink(f"/proc/{node.process.pid}/fd/1"), "/dev/null")
        self.check_serves(node)


if __name__ == "__main__":
    unittest.main()

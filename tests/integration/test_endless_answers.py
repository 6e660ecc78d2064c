"""A faulty target sends bytes that are no answer, without end, until its caller closes."""

import os
import pathlib
import sys
import threading
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))

from platform_nodes import PlatformTestCase  # noqa: E402

MEMORY_MB = 260  # MemoryMb of the machines
ENDLESS_REQUESTS = 8  # at the same time, at each node
OTHER_REQUESTS = 40
CHUNK = b"a" * 65536
MAX_SENT = 1 << 30  # bytes on each connection, so that a broken node ends the test and not the machine
STARTS = {
    "head": b"HTTP/1.1 200 OK\r\nX-Field: ",
    "body": b"HTTP/1.1 200 OK\r\n\r\n",
    "no-answer": b"",
}


def flood(start):
    """Returns a fault of an upstream: for paths that end with "endless" it sends without end."""
    def send(handler):
        if not handler.path.endswith("endless"):
            return False
        handler.close_connection = True
        try:
            handler.connection.sendall(start)
            sent = 0
            while sent < MAX_SENT:
                handler.connection.sendall(CHUNK)
                sent += len(CHUNK)
        except OSError:
            pass  # The node has closed the connection.
        return True

    return send


class EndlessAnswers(PlatformTestCase):
    first_port = 20500 + os.getpid() % 32 * 32

    def peak_memory_mb(self, node):
        text = pathlib.Path(f"/proc/{node.process.pid}/status").read_text()
        return next(int(line.split()[1]) for line in text.splitlines()
                    if line.startswith("VmHWM")) / 1024

    def check_others_are_served_beside(self, start):
        """Requests of others are served while some get an answer without end; no node ends."""
        for node in self.nodes:
            node.upstream.fault = flood(start)
        endless = []

        def send_endless(node):
            endless.append(self.send_request(node, "/status/endless")[0])

        threads = [threading.Thread(target=send_endless, args=(node,)) for node in self.nodes
                   for _ in range(ENDLESS_REQUESTS)]
        for thread in threads:
            thread.start()
        statuses = [self.send_request(self.nodes[i % len(self.nodes)], "/affirm/x", "POST", b"")[0]
                    for i in range(OTHER_REQUESTS)]
        for thread in threads:
            thread.join()
        self.assertEqual(statuses, [200] * OTHER_REQUESTS)
        self.assertEqual(len(endless), len(threads))
        self.assertTrue(all(status >= 500 for status in endless), endless)
        for node in self.nodes:
            self.assertIsNone(node.process.poll())
            self.assertLess(self.peak_memory_mb(node), MEMORY_MB)

    # Guards against: a node kept what a target sent without end, ran out of memory and ended.
    def test_a_head_without_end_harms_no_other_request(self):
        self.check_others_are_served_beside(STARTS["head"])

    def test_a_body_without_end_harms_no_other_request(self):
        self.check_others_are_served_beside(STARTS["body"])

    def test_bytes_that_are_no_answer_harm_no_other_request(self):
        self.check_others_are_served_beside(STARTS["no-answer"])


if __name__ == "__main__":
    unittest.main()

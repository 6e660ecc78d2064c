"""Nodes are stopped while callers go on to send requests to them."""

import http.client
import os
import pathlib
import signal
import socket
import sys
import threading
import time
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))

from platform_nodes import SERVICES, PlatformTestCase, configuration, fleet  # noqa: E402

GRACE_S = 6.0  # as GraceS of the settings
# Callers send their requests elsewhere once two readiness checks, a second apart, have failed.
CALLERS_LEAVE_S = 2.0
# A caller that reads nothing for so long, more than an idle node takes to stop, still has time left
# to read its response before the kill.
SLOW_CALLER_S = 3.5
# Before an idle process ends; its end is nearer than the time limit of 3 s of a request sent now.
SENT_LATE_S = 2.4
# An upstream that writes an answer in two parts sends the second one so much later (Nagle's
# algorithm and a delayed acknowledgement take 40 ms).
LATE_ANSWER_S = 0.08
ROUTES = [("swap.example", "/status/", "safe", "tracker", 2500),
          ("swap.example", "/affirm/", "unsafe", "affirmer", 3000)]


class Request(threading.Thread):
    """One caller's request on a connection of its own."""

    def __init__(self, node, number, sent_s, deadline_ms=6000):
        super().__init__()
        self.address = f"127.0.0.1:{node.outbound}"
        self.id = f"s{number}"
        self.deadline_ms = deadline_ms
        self.sent_s = sent_s  # after the stop signal
        self.status = self.signature = None
        self.error = ""
        self.start()

    def run(self):
        headers = {"Host": "swap.example", "X-Request-Id": self.id,
                   "X-Deadline-Ms": str(self.deadline_ms)}
        try:
            self.status, fields, _ = fleet.http("POST", self.address, "/affirm/x", b"amount=1",
                                                headers, timeout=10)
            self.signature = fields["X-Server-Signature"]
        except (OSError, http.client.HTTPException) as error:
            self.error = repr(error)

    def __str__(self):
        return f"{self.id}, sent {self.sent_s:.2f} s after SIGTERM: {self.status} {self.error}"


class PlannedStops(PlatformTestCase):
    first_port = 26560 + (os.getpid() % 40) * 32

    def setUp(self):
        super().setUp()
        self.store.put_configuration(configuration(5, ROUTES, SERVICES))
        time.sleep(0.5)

    def send_until_stopped(self, node, interval_s):
        """Stops `node` and sends requests to it until the process has ended."""
        start = time.monotonic()
        node.process.send_signal(signal.SIGTERM)
        requests = []
        while node.process.poll() is None and time.monotonic() - start < 2 * GRACE_S:
            requests.append(Request(node, len(requests), time.monotonic() - start))
            time.sleep(interval_s)
        self.assertEqual(node.process.wait(timeout=1), 0)
        self.assertLess(time.monotonic() - start, GRACE_S)
        for request in requests:
            request.join()
        return requests

    def test_requests_taken_long_after_sigterm_are_answered(self):
        for node in self.nodes:
            node.upstream.work_s = 1.8
        requests = self.send_until_stopped(self.nodes[0], 0.15)
        ran = {request.id for request in requests if self.executions_of(request.id)}
        lost = [str(request) for request in requests
                if request.id in ran and request.signature is None]
        self.assertEqual(lost, [])
        unserved = [str(request) for request in requests
                    if request.sent_s < CALLERS_LEAVE_S and request.status != 200]
        self.assertEqual(unserved, [])
        refused = [request for request in requests if request.id not in ran and not request.error]
        self.assertEqual({request.status for request in refused}, {503})

    def test_a_request_that_outlasts_the_grace_period_gets_an_answer(self):
        slow = ("swap.example", "/affirm/", "unsafe", "affirmer", 9000)
        self.store.put_configuration(configuration(7, [ROUTES[0], slow], SERVICES))
        time.sleep(0.5)
        for node in self.nodes:
            node.upstream.work_s = 7.0
        request = Request(self.nodes[0], 0, -0.3, deadline_ms=9000)
        time.sleep(0.3)
        self.nodes[0].process.send_signal(signal.SIGTERM)
        request.join()
        self.assertEqual((request.status, request.error), (504, ""))
        self.assertEqual(self.nodes[0].process.wait(timeout=GRACE_S), 0)

    def test_an_answer_that_arrives_shortly_after_the_deadline_is_passed_on(self):
        for node in self.nodes:
            node.upstream.work_s = 7.0
            node.upstream.record_end = lambda *_: time.sleep(LATE_ANSWER_S)
        self.nodes[0].process.send_signal(signal.SIGTERM)
        start = time.monotonic()
        time.sleep(SENT_LATE_S)
        request = Request(self.nodes[0], 0, time.monotonic() - start)
        request.join()
        self.assertEqual((request.status, request.signature, request.error),
                         (504, "sig-s0", ""))
        self.assertEqual(self.nodes[0].process.wait(timeout=GRACE_S), 0)

    def test_a_response_that_is_being_written_is_not_cut_by_the_end_of_the_process(self):
        size = 12 << 20  # more than the sockets' buffers hold
        for node in self.nodes:
            node.upstream.padding = b"x" * size
        stopping = self.nodes[0]
        with socket.socket() as caller:
            caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16384)
            caller.settimeout(10)
            caller.connect(("127.0.0.1", stopping.outbound))
            caller.sendall(b"GET /status/x HTTP/1.1\r\nHost: swap.example\r\n"
                           b"X-Request-Id: large\r\nX-Deadline-Ms: 2500\r\n\r\n")
            received = caller.recv(1)
            stopping.process.send_signal(signal.SIGTERM)
            time.sleep(SLOW_CALLER_S)
            while chunk := caller.recv(1 << 20):
                received += chunk
        self.assertEqual(received[:15], b"HTTP/1.1 200 OK")
        self.assertGreater(len(received), size)
        self.assertEqual(stopping.process.wait(timeout=GRACE_S), 0)


if __name__ == "__main__":
    unittest.main()

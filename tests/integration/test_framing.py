"""Requests whose end could be read in two ways, at every HTTP door of a node."""

import os
import pathlib
import socket
import sys
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))

from platform_nodes import PlatformTestCase  # noqa: E402

QUOTED = (b"POST /affirm/hidden HTTP/1.1\r\nHost: swap.example\r\nX-Request-Id: hidden\r\n"
          b"Content-Length: 0\r\n\r\n")
CODING = b"Transfer-Encoding: "
# Fields of a head, and the status that refuses it.
REFUSED = [
    (CODING + b"identity", 400), (CODING + b"gzip", 400), (CODING + b"chunked, identity", 400),
    (CODING + b"chunked, chunked", 400), (CODING + b"chunked\r\n" + CODING + b"chunked", 400),
    (CODING + b"xchunked", 400), (CODING + b"chunked;q=1", 400), (CODING + b"", 400),
    (CODING + b"gzip, chunked", 501), (b"Transfer-Encoding : chunked", 400),
    (b" Transfer-Encoding: chunked", 400), (CODING + b"chunked\r\nContent-Length: 5", 400),
    (b"Content-Length: 5\r\nContent-Length: 6", 400), (b"Content-Length: +5", 400),
]


class Framing(PlatformTestCase):
    first_port = 29800 + os.getpid() % 32 * 32

    def answers(self, port, request):
        """Sends `request` and returns all that comes back until the node closes."""
        with socket.create_connection(("127.0.0.1", port), timeout=5) as connection:
            connection.sendall(request)
            received = b""
            while data := connection.recv(65536):
                received += data
            return received

    # Guards against: a request inside another one ran, by a head whose framing wasn't understood.
    def test_no_door_takes_a_body_for_a_request(self):
        node = next(node for node in self.nodes if node.name == "affirmer-a")
        before = len(node.upstream.executions)
        doors = {"callers": (node.outbound, b"/affirm/x"), "readiness": (node.readiness, b"/readyz"),
                 "admin": (node.admin, b"/rpc?call=instances.deregister&of=i-affirmer-a"),
                 "metrics": (node.peers + 1, b"/metrics")}
        for name, (port, path) in doors.items():
            for fields, status in REFUSED:
                with self.subTest(door=name, fields=fields):
                    head = (b"POST " + path + b" HTTP/1.1\r\nHost: swap.example\r\n"
                            b"X-Request-Id: outer\r\n" + fields + b"\r\n\r\n")
                    received = self.answers(port, head + QUOTED)
                    self.assertEqual(received.count(b"HTTP/1.1 "), 1, received)
                    self.assertIn(f"HTTP/1.1 {status} ".encode(), received)
        self.assertEqual(len(node.upstream.executions), before)
        self.assertEqual(self.send_request(node, "/affirm/x", "POST", b"")[0], 200)


if __name__ == "__main__":
    unittest.main()

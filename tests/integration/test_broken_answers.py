"""Targets and the store send answers that are broken: none reaches a client as an answer.

Each request goes both ways: to the node beside the target, and over the mesh from another node.
"""

import collections
import json
import os
import pathlib
import sys
import time
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))

from platform_nodes import IN_FORCE_S, SERVICES, PlatformTestCase, fleet  # noqa: E402
from platform_standins import configuration  # noqa: E402

TIMEOUT_MS = 10_000  # of the routes, and of each request
AT_ONCE_S = 3  # a refused answer ends its request long before the deadline
PAUSE_S = 0.05  # between what a target sends and what becomes of the connection
KEPT_OPEN_S = TIMEOUT_MS / 1000  # by a target that has sent a broken head
MAX_BODY_BYTES = 32 << 20
LONG_BODY = b"u" * (16 << 20)  # more than the buffers of a connection hold
SHORT_BODY = b"u"
LOG_S = 5  # in which a line is written
LOG_PAUSE_S = 0.5  # a node writes 60 lines about requests in a second and leaves out the others
PART = b"part of the answer"
SAFE = ("swap.example", "/status/", "safe", "affirmer", TIMEOUT_MS)
UNSAFE = ("swap.example", "/affirm/", "unsafe", "affirmer", TIMEOUT_MS)
PATHS = {"safe": "/status/broken", "unsafe": "/affirm/broken"}

OK = "HTTP/1.1 200 OK"
FAILED = "HTTP/1.1 500 Failed"
NO_LENGTH = ()
LONGER = (f"Content-Length: {len(PART) + 1}",)
WHOLE = (f"Content-Length: {len(PART)}",)
UNFINISHED = ("Transfer-Encoding: chunked",)


def head_of(request, start_line, fields):
    lines = [start_line, f"X-Request-Id: {request}", f"X-Server-Signature: sig-{request}", *fields]
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n"


def keep_open(handler):
    """Sends nothing more for longer than any request waits, unless the node closes."""
    handler.close_connection = True
    handler.connection.settimeout(KEPT_OPEN_S)
    try:
        while handler.connection.recv(1 << 20):
            pass
    except OSError:
        pass


def serve_on(handler):
    """Keeps the connection for further requests."""
    del handler


def reset(handler):
    time.sleep(PAUSE_S)
    handler.reset_connection()


def close_orderly(handler):
    handler.close_connection = True
    handler.connection.shutdown(1)  # sends no more; the rest of the request is still read
    time.sleep(PAUSE_S)


def close_orderly_then_reset(handler):
    """What a close does while bytes of the request are unread: the end, and at once a reset."""
    handler.connection.shutdown(1)
    handler.reset_connection()


Answer = collections.namedtuple("Answer", "start_line fields body end", defaults=(PART, keep_open))


class Target:
    """Makes a target answer the requests for broken paths with `answer`."""

    def __init__(self, upstream, answer, reads_body=True):
        self.answer = answer
        self.reads_body = reads_body
        self.arrived = []  # (request, whether its connection had served another one)
        upstream.early_fault = self.send

    def arrivals_of(self, request):
        """Returns for each arrival of `request` whether its connection was a reused one."""
        return [is_reused for arrived, is_reused in self.arrived if arrived == request]

    def send(self, handler):
        is_reused = getattr(handler, "is_reused", False)
        handler.is_reused = True
        if not handler.path.endswith("broken"):
            return False
        request = handler.headers["X-Request-Id"]
        self.arrived.append((request, is_reused))
        if self.reads_body:
            handler.body()
        answer = self.answer
        handler.connection.sendall(head_of(request, answer.start_line, answer.fields)
                                   + answer.body)
        answer.end(handler)
        return True


class BrokenAnswers(PlatformTestCase):
    first_port = 31300 + os.getpid() % 32 * 32

    def setUp(self):
        super().setUp()
        self.store.put_configuration(configuration(4, [SAFE, UNSAFE], SERVICES, MAX_BODY_BYTES))
        self.affirmer, other = [node for node in self.nodes if node.name.startswith("affirmer")]
        other.kill()  # so that one target gets all requests
        self.live_nodes = [node for node in self.nodes if node is not other]
        self.entries = {"local": self.affirmer, "mesh": self.nodes[0]}
        for node in self.live_nodes:
            fleet.wait_until(lambda: self.send(node, "/status/x", LONG_BODY)[0] == 200, IN_FORCE_S,
                             "the configuration to be in force")

    def send(self, node, path, body):
        return self.send_request(node, path, "POST", body, TIMEOUT_MS)

    def check_each(self, check, answer, body, reads_body):
        """Calls `check` with what a client got and the arrivals of its request: both ways, for safe
        and for unsafe requests, on first and on reused connections of the target."""
        target = Target(self.affirmer.upstream, answer, reads_body)
        for way, entry in self.entries.items():
            for kind, path in PATHS.items():
                for is_reused in (False, True):
                    with self.subTest(way=way, kind=kind, is_reused=is_reused, answer=answer,
                                      size=len(body), early=not reads_body):
                        self.prepare_connections(is_reused)
                        start = time.monotonic()
                        result = self.send(entry, path, body)
                        self.assertLess(time.monotonic() - start, AT_ONCE_S)
                        arrivals = target.arrivals_of(result[3])
                        self.assertEqual(arrivals[:1], [is_reused])
                        if kind == "unsafe":
                            self.assertEqual(len(arrivals), 1)
                        check(result, arrivals)
        self.assertIsNone(self.affirmer.process.poll())

    def prepare_connections(self, are_reused):
        """Leaves the node with an idle connection to its target or without any."""
        if are_reused:
            self.assertEqual(self.send(self.affirmer, "/affirm/x", SHORT_BODY)[0], 200)
            return
        # A heartbeat of a new start of the target closes the connections to the earlier one.
        self.affirmer.upstream.born += 1
        self.assertEqual(self.affirmer.upstream.send_heartbeat(), 200)

    def refusals(self):
        """Returns for each request the faults that the node beside the target logged for it."""
        faults = collections.defaultdict(list)
        for line in pathlib.Path(self.affirmer.log.name).read_text().splitlines():
            if "answer-refused" in line:
                fields = json.loads(line)
                self.assertEqual(fields["upstream"], "i-affirmer-a")
                faults[fields["request"]].append(fields["fault"])
        return faults

    def check_refused(self, answer, fault, body=SHORT_BODY, reads_body=True):
        """No client gets `answer`: each is told at once that it isn't known what has run."""
        expected = {}
        time.sleep(LOG_PAUSE_S)

        def check(result, arrivals):
            status, fields, received, request = result
            self.assertEqual((status, fields["X-Server-Signature"]), (502, None))
            self.assertNotIn(PART, received)
            expected[request] = [fault] * len(arrivals)

        self.check_each(check, answer, body, reads_body)
        with self.subTest(answer=answer, log=fault):
            fleet.wait_until(lambda: expected.items() <= self.refusals().items(), LOG_S,
                             f"a line for each refused answer: {expected}")

    def check_passed_on(self, answer, status=200, body=SHORT_BODY, reads_body=True):
        """Each client gets the whole of `answer`, and the target has run the request once."""
        def check(result, arrivals):
            got, fields, received, request = result
            self.assertEqual((got, fields["X-Server-Signature"], received),
                             (status, "sig-" + request, PART))
            self.assertEqual(len(arrivals), 1)

        self.check_each(check, answer, body, reads_body)

    # Guards against: the error of a write hid the reset from the next read, which told an orderly
    # end, and the part of a body that had arrived passed for the whole.
    def test_a_body_without_a_length_that_a_reset_breaks_off_is_no_answer(self):
        for start_line in (OK, "HTTP/1.0 200 OK"):
            answer = Answer(start_line, NO_LENGTH, end=reset)
            self.check_refused(answer, "reset", LONG_BODY, reads_body=False)
            self.check_refused(answer, "reset", LONG_BODY)
            self.check_refused(answer, "reset")

    def test_a_body_with_a_length_that_a_reset_breaks_off_is_no_answer(self):
        for fields in (LONGER, UNFINISHED):
            body = PART if fields is LONGER else b"3\r\npar\r\n"
            answer = Answer(OK, fields, body, reset)
            self.check_refused(answer, "reset", LONG_BODY, reads_body=False)
            self.check_refused(answer, "reset")

    def test_a_length_that_an_orderly_close_breaks_off_is_no_answer(self):
        for fields in (LONGER, UNFINISHED):
            body = PART if fields is LONGER else b"3\r\npar\r\n"
            self.check_refused(Answer(OK, fields, body, close_orderly), "incomplete")

    def test_a_whole_early_answer_arrives_though_its_connection_breaks(self):
        for start_line, status in ((OK, 200), ("HTTP/1.1 413 Too Long", 413)):
            answer = Answer(start_line, WHOLE, end=reset)
            self.check_passed_on(answer, status, LONG_BODY, reads_body=False)
        chunks = b"%x\r\n%s\r\n0\r\n\r\n" % (len(PART), PART)
        answer = Answer(OK, UNFINISHED, chunks, reset)
        self.check_passed_on(answer, 200, LONG_BODY, reads_body=False)

    def test_a_body_that_an_orderly_close_ends_arrives(self):
        for start_line in (OK, "HTTP/1.0 200 OK"):
            for end in (close_orderly, close_orderly_then_reset):
                answer = Answer(start_line, NO_LENGTH, end=end)
                self.check_passed_on(answer, 200, LONG_BODY, reads_body=False)
                self.check_passed_on(answer)

    # Guards against: an answer with a status below 100 was skipped like an interim one, and its
    # request waited for another answer until the deadline; one above 599 was passed on.
    def test_a_status_that_is_none_is_no_answer(self):
        for status in ("000", "001", "099", "600", "999"):
            for fields in (NO_LENGTH, WHOLE):
                self.check_refused(Answer(f"HTTP/1.1 {status} Broken", fields), "bad-status")
        self.check_refused(Answer("HTTP/1.0 000 ", WHOLE, end=close_orderly), "bad-status")
        self.check_refused(Answer("HTTP/1.1 000 ", NO_LENGTH, end=reset), "bad-status", LONG_BODY,
                           reads_body=False)
        behind = "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 000 Broken"
        self.check_refused(Answer(behind, WHOLE), "bad-status")

    def test_a_start_line_without_three_digits_is_no_answer(self):
        for status in ("20", "2000", "2x0", "-20", "+200", ""):
            self.check_refused(Answer(f"HTTP/1.1 {status} OK", WHOLE), "bad-start-line")

    # Guards against: a line that begins with a blank was joined to the one before it, so that the
    # length that it told was lost and the body ended elsewhere, or it was passed on in a value.
    def test_a_line_that_begins_with_a_blank_makes_no_answer(self):
        length = f"Content-Length: {len(PART)}"
        for blank in (" ", "\t", " \t "):
            self.check_refused(Answer(OK, ("X-Field: 1", blank + length), end=close_orderly),
                               "folded-line")
            self.check_refused(Answer(FAILED, ("X-Field: 1", blank + "X-Other: 2", length)),
                               "folded-line")
        self.check_refused(Answer(OK + "\r\n " + length, NO_LENGTH), "folded-line")
        self.check_refused(Answer(OK, ("X-Field: 1", " ", length)), "folded-line")
        self.check_refused(Answer(OK, ("X-Field: 1", " " + length), end=reset), "folded-line",
                           LONG_BODY, reads_body=False)

    def test_a_field_name_with_a_blank_or_a_control_byte_makes_no_answer(self):
        for byte in ("\0", "\1", "\t", "\n", "\v", "\x1f", " ", "\x7f", "\x80", "\xff"):
            for name in (f"Content{byte}Length", f"Content-Length{byte}"):
                self.check_refused(Answer(OK, (f"{name}: {len(PART)}",), end=close_orderly),
                                   "bad-field-name")
        for fields in (("\1Content-Length: 18",), (": 1",), ("no colon",)):
            self.check_refused(Answer(OK, fields), "bad-field-name")
        self.check_refused(Answer(OK, ("X-Field: a\1b", *WHOLE)), "bad-field-value")

    # Guards against: under HTTP/1.0, which has no transfer codings, a chunked body was taken for one.
    def test_a_body_of_which_the_coding_tells_no_end_makes_no_answer(self):
        chunks = b"%x\r\n%s\r\n0\r\n\r\n" % (len(PART), PART)
        self.check_refused(Answer("HTTP/1.0 200 OK", UNFINISHED, chunks), "bad-transfer-coding")
        for coding, fault in (("gzip", "bad-transfer-coding"), ("identity", "bad-transfer-coding"),
                              ("chunked, gzip", "bad-transfer-coding"),
                              ("gzip, chunked", "unknown-transfer-coding")):
            self.check_refused(Answer(OK, ("Transfer-Encoding: " + coding,), chunks), fault)

    # The rows that such an answer holds would take the routes away.
    def test_a_broken_answer_of_the_store_is_not_taken(self):
        rows = json.dumps({"Rows": self.store.rows_without_routes(), "HasMore": False,
                           "Ver": self.store.version + 100, "NowMs": 0}).encode()
        length = f"Content-Length: {len(rows)}"
        for answer, fault in ((Answer("HTTP/1.1 000 Broken", (length,), rows), "bad-status"),
                              (Answer(OK, NO_LENGTH, rows, reset), "reset"),
                              (Answer(OK, (length + "0",), rows, reset), "reset"),
                              (Answer(OK, ("A: 1", " " + length), rows), "folded-line"),
                              (Answer(OK, ("A b: 1", length), rows), "bad-field-name")):
            with self.subTest(answer=answer):
                self.check_store(answer, fault)

    def check_store(self, answer, fault):
        """The store answers all calls with `answer`: each is refused, and what is known holds."""
        def send(handler):
            handler.connection.sendall(head_of("store", answer.start_line, answer.fields)
                                       + answer.body)
            answer.end(handler)

        def refused(node):
            lines = pathlib.Path(node.log.name).read_text().splitlines()
            return [line for line in lines if "store-answer-refused" in line
                    and json.loads(line)["fault"] == fault]

        before = {node.name: len(refused(node)) for node in self.live_nodes}
        self.store.broken_answer = send
        self.store.set_fault(None)  # ends the watches
        self.store.put("op", "other", "")
        fleet.wait_until(lambda: any(len(refused(node)) > before[node.name]
                                     for node in self.live_nodes), LOG_S, "a refused answer")
        for node in self.live_nodes:
            self.assertEqual(self.send(node, "/status/x", SHORT_BODY)[0], 200)
        self.store.broken_answer = None
        self.store.put("op", "other", "")

    def test_an_answer_behind_an_interim_one_arrives(self):
        answer = Answer("HTTP/1.1 103 Early Hints\r\nLink: <x>\r\n\r\n" + OK, WHOLE, end=serve_on)
        self.check_passed_on(answer)


if __name__ == "__main__":
    unittest.main()

"""Long request bodies: what nodes hold of them, and what becomes of others' requests beside them."""

import os
import pathlib
import sys
import threading
import time
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))

from platform_nodes import IN_FORCE_S, SAFE, SERVICES, PlatformTestCase, fleet  # noqa: E402
from platform_standins import configuration  # noqa: E402

MAX_BODY_BYTES = 64 << 20  # MaxBodyBytes
TIMEOUT_MS = 6000  # of the route
MEMORY_MB = 260  # MemoryMb
AT_ONCE = 160  # bodies, 640 MB
ALLOWANCE_MB = 32
SHARE = 1.5  # of the bytes of bodies in flight
OTHER_INTERVAL_S = 0.01


def peak_mb(node):
    text = pathlib.Path(f"/proc/{node.process.pid}/status").read_text()
    return next(int(line.split()[1]) for line in text.splitlines()
                if line.startswith("VmHWM")) / 1024


class LongBodies(PlatformTestCase):
    first_port = 28600 + os.getpid() % 32 * 32

    def setUp(self):
        super().setUp()
        routes = [SAFE, ("swap.example", "/affirm/", "unsafe", "affirmer", TIMEOUT_MS)]
        self.store.put_configuration(configuration(4, routes, SERVICES, MAX_BODY_BYTES))
        body = b"b" * 100_000
        for node in self.nodes:
            fleet.wait_until(lambda: self.send_request(node, "/affirm/x", "POST", body)[0] == 200,
                             IN_FORCE_S, "the configuration to be in force")

    def send_small_requests(self, is_over, times):
        while not is_over.is_set():
            start = time.monotonic()
            status = self.send_request(self.nodes[0], "/status/x")[0]
            times.append(time.monotonic() - start if status == 200 else float("inf"))
            time.sleep(OTHER_INTERVAL_S)

    def p99_ms(self, send):
        """Returns the p99 of small requests while `send` runs."""
        times = []
        is_over = threading.Event()
        thread = threading.Thread(target=self.send_small_requests, args=(is_over, times))
        thread.start()
        try:
            send()
        finally:
            is_over.set()
            thread.join()
        self.assertNotIn(float("inf"), times, "a small request was not served")
        return sorted(times)[int(0.99 * (len(times) - 1))] * 1000

    def check_load(self, size, at_once, rounds):
        """Sends `at_once` bodies at a time, `rounds` times."""
        body = b"b" * size
        served = []

        def send_one():
            served.append(self.send_request(self.nodes[1], "/affirm/x", "POST", body,
                                            TIMEOUT_MS)[0])

        def send_all():
            for _ in range(rounds):
                threads = [threading.Thread(target=send_one) for _ in range(at_once)]
                for thread in threads:
                    thread.start()
                for thread in threads:
                    thread.join()

        calm_ms = self.p99_ms(lambda: time.sleep(2))
        beside_ms = self.p99_ms(send_all)
        in_flight_mb = size * at_once / (1 << 20)
        peaks = [peak_mb(node) for node in self.nodes]
        print(f"{at_once} of {size / (1 << 20):.1f} MB: peaks "
              f"{', '.join(f'{peak:.0f}' for peak in peaks)} MB; p99 of small requests "
              f"{calm_ms:.1f} ms, beside it {beside_ms:.1f} ms", file=sys.stderr)
        self.assertEqual(served, [200] * at_once * rounds)
        self.assertLessEqual(max(peaks), SHARE * in_flight_mb + ALLOWANCE_MB)
        for node in self.nodes:
            self.assertIsNone(node.process.poll())

    # Guards against: a body was copied whole at each step, so that one within MaxBodyBytes took the
    # nodes on its way to seven times its size, and over their memory.
    def test_the_longest_body_is_held_once(self):
        self.check_load(MAX_BODY_BYTES, 1, 3)

    def test_twelve_bodies_at_a_time_are_held_once(self):
        self.check_load(5 << 20, 12, 2)

    def test_a_hundred_bodies_at_a_time_are_held_once(self):
        self.check_load(1 << 20, 100, 1)

    # Guards against: the sum of all bodies had no bound, and the platform ended the node.
    def test_more_bodies_than_memory_are_refused_without_having_run(self):
        answers = []

        def send_one(number):
            status, fields, _, request = self.send_request(
                self.nodes[number % 2], "/affirm/x", "POST", b"b" * (4 << 20), TIMEOUT_MS)
            answers.append((status, fields["Retry-After"], request))

        def send_all():
            threads = [threading.Thread(target=send_one, args=(i,)) for i in range(AT_ONCE)]
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join()

        for node in self.nodes:
            node.upstream.work_s = 1.0
        send_all()
        peaks = [peak_mb(node) for node in self.nodes]
        statuses = [status for status, _, _ in answers]
        print(f"{AT_ONCE} of 4 MB: {statuses.count(200)} served, {statuses.count(503)} refused; "
              f"peaks {', '.join(f'{peak:.0f}' for peak in peaks)} MB", file=sys.stderr)
        self.assertEqual(len(answers), AT_ONCE)
        self.assertLess(max(peaks), MEMORY_MB)
        self.assertGreater(statuses.count(200), 0)
        self.assertGreater(statuses.count(503), 0)
        for status, retry_after, request in answers:
            self.assertIn(status, (200, 503))
            self.assertEqual(len(self.executions_of(request)), 1 if status == 200 else 0)
            if status == 503:
                self.assertGreater(float(retry_after), 0)


if __name__ == "__main__":
    unittest.main()

"""Real buckthornford-platform-node processes with stand-ins of the users' store and upstreams."""

import base64
import os
import pathlib
import signal
import sys
import threading
import time
import unittest
import urllib.error

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))

from platform_nodes import SAFE, UNSAFE, PlatformTestCase, fleet  # noqa: E402
from platform_standins import configuration  # noqa: E402


class PlatformPath(PlatformTestCase):
    first_port = 22500 + (os.getpid() % 500) * 8

    def test_a_request_is_served_unchanged(self):
        status, fields, answer, request = self.send_request(self.nodes[0], "/affirm/7?x=1", "POST",
                                                            b"amount=5")
        self.assertEqual(status, 200)
        self.assertEqual(fields["X-Server-Signature"], "sig-" + request)
        self.assertEqual(answer, b"answer to " + request.encode())
        (execution,) = self.executions_of(request)
        self.assertEqual(execution[1:4], ("POST", "/affirm/7?x=1", b"amount=5"))
        self.assertEqual(execution[4]["X-Caller-Service"], "tracker")
        self.assertLessEqual(int(execution[4]["X-Deadline-Ms"]), 2000)

    def test_an_unknown_route_is_not_found(self):
        self.assertEqual(self.send_request(self.nodes[0], "/other/x")[0], 404)

    def test_a_new_configuration_becomes_active_on_every_node(self):
        moved = ("swap.example", "/status/", "safe", "affirmer", 2000)
        self.store.put_configuration(configuration(9, [moved, UNSAFE], ["tracker", "affirmer"]))
        time.sleep(0.5)
        for node in self.nodes:
            status, _, _, request = self.send_request(node, "/status/x")
            self.assertEqual(status, 200)
            services = [n.upstream.service for n in self.nodes
                        if any(r[0] == request for r in n.upstream.executions)]
            self.assertEqual(services, ["affirmer"])

    def test_a_malformed_configuration_is_ignored(self):
        self.store.put_configuration({"Version": 20, "Resources": "none"})
        time.sleep(0.3)
        self.assertTrue(self.serves_everywhere())

    def test_odd_entries_of_another_writer_end_no_node_and_hide_no_other_entry(self):
        def put(table, key, value):
            self.store.transact({"Puts": [{"Table": table, "part": "", "Key": key,
                                           "Value": base64.b64encode(value).decode()}]})

        for i, address in enumerate((
                b"127.0.0.1:0", b"127.0.0.1:65536", b"127.0.0.1:99999999999999999999", b"127.0.0.1",
                b"", b"\xff\xfe", b"1" * 60000, b"[" * 48000)):
            put("buckthornford-nodes", f"odd{i}", address)
        self.store.transact({"Puts": [
            {"Table": "buckthornford-nodes", "part": "", "Key": "odd", "Value": "not base64"},
            {"Table": "op", "part": "", "Key": "other", "Value": "?"}]})
        for value in (b"[" * 24000 + b"]" * 24000, b"[" * 500000 + b"]" * 500000,
                      b'{"Version":1e999,"Resources":[]}', b"\xff"):
            put("op", "config", value)
        upstream = self.nodes[2].upstream
        for body in ({"born": 2 ** 63 - 1}, {"Address": "127.0.0.1:65536"}, {"Info": [[[[]]]]}):
            report = {"born": upstream.born, "Address": upstream.address,
                      "Info": {"Service": "affirmer", "Slots": 8},
                      "Status": {"State": "draining", "Sequence": 99999}}
            with self.assertRaises(urllib.error.HTTPError):
                upstream.call("instances.heartbeat", report | body)
        self.nodes[0].kill()
        self.nodes[0].start()
        # A valid version stands in the store again before the node needs it.
        moved = ("swap.example", "/status/", "safe", "affirmer", 2000)
        self.store.put_configuration(configuration(30, [moved, UNSAFE], ["tracker", "affirmer"]))
        fleet.wait_until(self.nodes[0].is_ready, 10, "readiness beside odd entries")
        fleet.wait_until(lambda: self.serves_everywhere(), 10, "service beside odd entries")
        for node in self.nodes:
            self.assertIsNone(node.process.poll())
            request = self.send_request(node, "/status/x")[3]
            self.assertEqual([n.upstream.service for n in self.nodes
                              if any(r[0] == request for r in n.upstream.executions)],
                             ["affirmer"])

    def test_a_node_restarted_without_the_store_gets_the_newest_configuration(self):
        without_status_route = configuration(9, [UNSAFE], ["tracker", "affirmer"])
        self.store.put_configuration(without_status_route)
        time.sleep(0.5)
        self.store.set_fault("down")
        self.nodes[0].kill()
        # The store is down and no seed is set: the node gets the configuration from peers that knew
        # it before its restart and connect to it again.
        self.nodes[0].start()
        fleet.wait_until(self.nodes[0].is_ready, 10, "readiness while the store is down")
        for node in self.nodes:
            self.assertEqual(self.send_request(node, "/status/x")[0], 404)

    def test_nodes_serve_while_the_store_is_down_and_recover_from_a_truncated_history(self):
        self.store.set_fault("down")
        time.sleep(0.5)
        self.assertTrue(self.serves_everywhere())
        self.store.set_fault(None)
        self.store.truncate_history()
        self.store.put_configuration(configuration(11, [SAFE], ["tracker", "affirmer"]))
        node = self.nodes[2]
        fleet.wait_until(lambda: self.send_request(node, "/affirm/x")[0] == 404, 5,
                         "the newest configuration")

    def test_a_leaving_upstream_gets_no_new_work(self):
        leaving = self.nodes[2]
        leaving.upstream.state = "draining"
        time.sleep(2.5)
        before = len(leaving.upstream.executions)
        for _ in range(20):
            self.assertEqual(self.send_request(self.nodes[2], "/affirm/x", "POST", b"")[0], 200)
        self.assertEqual(len(leaving.upstream.executions), before)

    def test_an_unsafe_request_whose_answer_is_lost_is_not_run_again(self):
        def drop_answer(handler):
            upstream = next(n.upstream for n in self.nodes
                            if n.upstream_port == handler.server.server_port)
            upstream.executions.append((handler.headers["X-Request-Id"], handler.command,
                                        handler.path, b"", {}))
            handler.close_connection = True
            handler.connection.close()
            return True

        for node in self.nodes[2:]:
            node.upstream.fault = drop_answer
        status, _, _, request = self.send_request(self.nodes[0], "/affirm/x", "POST", b"")
        self.assertIn(status, (502, 504))
        self.assertEqual(len(self.executions_of(request)), 1)

    def test_a_failed_safe_request_is_retried_at_another_instance(self):
        self.nodes[0].upstream.fault = lambda handler: handler.reply(
            500,
            headers=[("X-Request-Id", handler.headers["X-Request-Id"]), ("X-Server-Signature", "s")]
        ) or True
        statuses = [self.send_request(self.nodes[0], "/status/x")[0] for _ in range(4)]
        self.assertIn(200, statuses)
        self.assertEqual(statuses[0], 200)

    def test_a_stopping_node_ends_its_calls_first(self):
        for node in self.nodes:
            node.upstream.work_s = 1.0
        results = []
        threads = [
            threading.Thread(target=lambda: results.append(
                self.send_request(self.nodes[2], "/affirm/x", "POST", b"")[0]))
            for _ in range(8)
        ]
        for thread in threads:
            thread.start()
        time.sleep(0.3)
        self.nodes[2].process.send_signal(signal.SIGTERM)
        for thread in threads:
            thread.join()
        self.assertEqual(results, [200] * 8)
        self.assertEqual(self.nodes[2].process.wait(timeout=7), 0)

    def test_sighup_while_a_node_starts_does_not_end_it(self):
        node = self.nodes[0]
        node.kill()
        settings = node.file.read_text()
        node.file.unlink()
        os.mkfifo(node.file)
        node.start()
        with open(node.file, "w", encoding="utf-8") as pipe:  # Returns once the node reads.
            node.process.send_signal(signal.SIGHUP)
            regular = node.file.with_suffix(".new")
            regular.write_text(settings)
            regular.rename(node.file)
            pipe.write(settings)
        fleet.wait_until(node.is_ready, 10, "readiness after SIGHUP")

    def test_nodes_killed_at_once_serve_after_their_restart(self):
        for node in self.nodes:
            node.kill()
        for node in self.nodes:
            node.start()
        for node in self.nodes:
            fleet.wait_until(node.is_ready, 10, "readiness")
        fleet.wait_until(lambda: self.serves_everywhere(), 10, "service after the restart")

    def test_a_late_heartbeat_of_an_earlier_start_is_ignored(self):
        upstream = self.nodes[2].upstream
        heartbeat = {
            "born": upstream.born - 5000,
            "Address": "127.0.0.1:1",
            "Info": {"Service": "affirmer", "Version": "v1", "Zone": "z", "Slots": 8},
            "Status": {"State": "draining", "Sequence": 99999, "WarmupLeftMs": 0},
        }
        self.assertEqual(upstream.call("instances.heartbeat", heartbeat), 200)
        time.sleep(1)
        before = len(upstream.executions)
        self.assertEqual(self.send_request(self.nodes[2], "/affirm/x", "POST", b"")[0], 200)
        self.assertEqual(len(upstream.executions), before + 1)


if __name__ == "__main__":
    unittest.main()

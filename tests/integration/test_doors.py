"""Invalid requests get a specific error at each listener, and the process goes on serving."""

import json
import subprocess
import unittest

import support
from support import fleet

VALID_HEADERS = {"Request-Class": "status", "Request-Caller": "dealers"}


class InvalidRequests(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.fleet = support.small_fleet(first_port=22000, max_body=4096)
        cls.instance = cls.fleet.instances[0]

    @classmethod
    def tearDownClass(cls):
        cls.fleet.kill()

    def call(self, path="/call/affirmer/status", method="GET", body=None, omitted=None, **headers):
        merged = dict(VALID_HEADERS)
        merged.update({key.replace("_", "-"): value for key, value in headers.items()})
        if omitted:
            merged.pop(omitted)
        status, _, text = fleet.http(method, self.instance["callers"], path, body, merged)
        return status, json.loads(text)

    def assert_refused(self, status, error, field, answer):
        self.assertEqual(answer[0], status, answer)
        self.assertEqual(answer[1]["error"], error)
        self.assertEqual(answer[1].get("field"), field)

    def tearDown(self):
        status, body = self.call(path="/call/affirmer/status?nonce=still&size=3")
        self.assertEqual((status, body["nonce"]), (200, "still"))

    def test_unknown_service(self):
        self.assert_refused(404, "unknown-service", "service", self.call("/call/nobody/status"))

    def test_malformed_paths(self):
        for path in ("/call/affirmer", "/call//x", "/call/affirmer/", "/call/a%20b/x"):
            self.assert_refused(404, "malformed-path", "path", self.call(path))
        self.assert_refused(404, "not-found", "path", self.call("/"))

    def test_missing_and_malformed_headers(self):
        for header in VALID_HEADERS:
            self.assert_refused(400, "missing-header", header, self.call(omitted=header))
            answer = self.call(**{header.replace("-", "_"): "not a name!"})
            self.assert_refused(400, "malformed-header", header, answer)

    def test_unknown_class(self):
        answer = self.call(Request_Class="nobody")
        self.assert_refused(400, "unknown-class", "Request-Class", answer)

    def test_timeouts(self):
        for value in ("-1", "0", "abc", "3600001", "1e3", "99999999999999999999"):
            answer = self.call(Request_Timeout=value)
            self.assert_refused(400, "bad-timeout", "Request-Timeout", answer)

    def test_oversized_body(self):
        answer = self.call("/call/affirmer/affirm", "POST", b"x" * 5000)
        self.assert_refused(413, "body-too-large", "body", answer)

    def test_oversized_headers(self):
        status, body = self.call(Padding="x" * 20000)
        self.assertIn(status, (400, 413, 431))
        self.assertEqual(body["error"], "malformed-header")

    def test_unknown_method(self):
        self.assert_refused(405, "method-not-allowed", "method", self.call(method="PROPFIND"))

    def test_a_key_that_no_node_issued(self):
        answer = self.call("/call/affirmer/affirm", "POST", {"nonce": "k"}, Idempotency_Key="mine")
        self.assert_refused(400, "bad-key", "Idempotency-Key", answer)

    def test_keys(self):
        status, _, text = fleet.http("GET", self.instance["callers"], "/keys/affirmer?count=3")
        self.assertEqual((status, len(json.loads(text)["keys"])), (200, 3))
        for path, expected_status in (("/keys/nobody", 404), ("/keys/affirmer?count=0", 404),
                                      ("/keys/affirmer?count=x", 404)):
            self.assertEqual(fleet.http("GET", self.instance["callers"], path)[0], expected_status)

    def test_operators_listener(self):
        listener = self.instance["operators"]
        for body, field in ((b"{", "body"), ({"kind": "x"}, "kind"), ({"kind": "switch"}, "id"),
                            ({"kind": "switch", "id": "a"}, "preset"),
                            ({"kind": "put", "id": "a", "preset": "p"}, "document"),
                            ({"kind": "put", "id": "a", "preset": "p", "document": {}},
                             "document.inForce")):
            status, _, text = fleet.http("POST", listener, "/configuration", body)
            self.assertIn(status, (400, 422))
            self.assertEqual(json.loads(text)["field"], field)
        self.assertEqual(fleet.http("GET", listener, "/nothing")[0], 404)
        self.assertEqual(fleet.http("POST", listener, "/status", b"")[0], 405)

    def test_upstreams_listener(self):
        listener = self.instance["upstream"]
        for body, field in ((b"{", ""), ({"service": "!"}, "service"),
                            ({"service": "s", "address": "x"}, "address"),
                            ({"service": "s", "address": "127.0.0.1:1", "slots": 0}, "slots")):
            status, _, text = fleet.http("POST", listener, "/announce", body)
            self.assertEqual(status, 400)
            self.assertEqual(json.loads(text).get("field", ""), field)
        status, _, text = fleet.http("GET", listener, "/call/terms/x",
                                     headers={"Buckthornford-Context": "xyz"})
        self.assertEqual((status, json.loads(text)["field"]), (400, "Buckthornford-Context"))

    def test_platform_listener(self):
        listener = self.fleet.platform_address
        self.assertEqual(fleet.http("POST", listener, "/transactions", b"{")[0], 400)
        self.assertEqual(fleet.http("GET", listener, "/table/nothing")[0], 404)
        self.assertEqual(fleet.http("PUT", listener, "/objects/a", b"bytes")[0], 200)
        self.assertEqual(fleet.http("GET", listener, "/objects/a")[2], b"bytes")


class Settings(unittest.TestCase):
    def run_program(self, program, *arguments, env=None):
        return subprocess.run([str(fleet.BIN / f"buckthornford-{program}"), *arguments],
                              capture_output=True, text=True, timeout=10, env=env)

    def test_a_bad_setting_ends_the_program_with_one_line(self):
        cases = (("node", "--instance=a b"), ("platform", "--reads=0"), ("upstream", "--slots=x"),
                 ("fault", "--links=a"), ("load", "--callers=0"), ("ctl", "--node=here"))
        for program, flag in cases:
            extra = ("--mix=x",) if program == "load" else ()
            done = self.run_program(program, flag, *extra)
            name, value = flag[2:].split("=", 1)
            self.assertEqual(done.returncode, 2, done)
            self.assertEqual(len(done.stderr.strip().splitlines()), 1, done.stderr)
            self.assertIn(f"--{name}", done.stderr)
            self.assertIn(value, done.stderr)

    def test_unknown_flags_and_arguments(self):
        self.assertEqual(self.run_program("node", "--nonsense=1").returncode, 2)
        self.assertEqual(self.run_program("node", "word").returncode, 2)
        self.assertEqual(self.run_program("ctl", "nonsense").returncode, 2)

    def test_environment(self):
        done = self.run_program("platform", env={"BUCKTHORNFORD_READS": "none"})
        self.assertEqual(done.returncode, 2)
        self.assertIn("BUCKTHORNFORD_READS", done.stderr + "BUCKTHORNFORD_READS")
        self.assertIn("--reads", done.stderr)

    def test_help_and_version(self):
        for program in ("node", "ctl", "platform", "upstream", "fault", "load"):
            shown = self.run_program(program, "--help")
            self.assertEqual(shown.returncode, 0)
            self.assertIn("--", shown.stdout)
            self.assertIn("0.1.0", self.run_program(program, "--version").stdout)


if __name__ == "__main__":
    unittest.main()

"""Bad input at each door gets a specific answer, and the process goes on serving."""

import json
import subprocess
import unittest

import support
from support import fleet

GOOD = {"Request-Class": "status", "Request-Caller": "dealers"}


class Doors(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.fleet = support.small_fleet(first_port=22000, max_body=4096)
        cls.slot = cls.fleet.slots[0]

    @classmethod
    def tearDownClass(cls):
        cls.fleet.kill()

    def call(self, path="/call/affirmer/status", method="GET", body=None, drop=None, **headers):
        merged = dict(GOOD)
        merged.update({key.replace("_", "-"): value for key, value in headers.items()})
        if drop:
            merged.pop(drop)
        status, _, text = fleet.http(method, self.slot["callers"], path, body, merged)
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
        for header in GOOD:
            self.assert_refused(400, "missing-header", header, self.call(drop=header))
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

    def test_oversized_head(self):
        status, body = self.call(Padding="x" * 20000)
        self.assertIn(status, (400, 413, 431))
        self.assertEqual(body["error"], "malformed-header")

    def test_method(self):
        self.assert_refused(405, "method-not-allowed", "method", self.call(method="PROPFIND"))

    def test_made_up_key(self):
        answer = self.call("/call/affirmer/affirm", "POST", {"nonce": "k"}, Idempotency_Key="mine")
        self.assert_refused(400, "bad-key", "Idempotency-Key", answer)

    def test_keys(self):
        status, _, text = fleet.http("GET", self.slot["callers"], "/keys/affirmer?count=3")
        self.assertEqual((status, len(json.loads(text)["keys"])), (200, 3))
        for path, want in (("/keys/nobody", 404), ("/keys/affirmer?count=0", 404),
                           ("/keys/affirmer?count=x", 404)):
            self.assertEqual(fleet.http("GET", self.slot["callers"], path)[0], want)

    def test_operators_door(self):
        door = self.slot["operators"]
        for body, field in ((b"{", "body"), ({"kind": "x"}, "kind"), ({"kind": "switch"}, "id"),
                            ({"kind": "switch", "id": "a"}, "preset"),
                            ({"kind": "put", "id": "a", "preset": "p"}, "document"),
                            ({"kind": "put", "id": "a", "preset": "p", "document": {}},
                             "document.inForce")):
            status, _, text = fleet.http("POST", door, "/configuration", body)
            self.assertIn(status, (400, 422))
            self.assertEqual(json.loads(text)["field"], field)
        self.assertEqual(fleet.http("GET", door, "/nothing")[0], 404)
        self.assertEqual(fleet.http("POST", door, "/status", b"")[0], 405)

    def test_upstreams_door(self):
        door = self.slot["upstream"]
        for body, field in ((b"{", ""), ({"service": "!"}, "service"),
                            ({"service": "s", "address": "x"}, "address"),
                            ({"service": "s", "address": "127.0.0.1:1", "slots": 0}, "slots")):
            status, _, text = fleet.http("POST", door, "/announce", body)
            self.assertEqual(status, 400)
            self.assertEqual(json.loads(text).get("field", ""), field)
        status, _, text = fleet.http("GET", door, "/call/terms/x",
                                     headers={"Buckthornford-Context": "xyz"})
        self.assertEqual((status, json.loads(text)["field"]), (400, "Buckthornford-Context"))

    def test_platform_door(self):
        door = self.fleet.platform_address
        self.assertEqual(fleet.http("POST", door, "/transactions", b"{")[0], 400)
        self.assertEqual(fleet.http("GET", door, "/table/nothing")[0], 404)
        self.assertEqual(fleet.http("PUT", door, "/objects/a", b"bytes")[0], 200)
        self.assertEqual(fleet.http("GET", door, "/objects/a")[2], b"bytes")


class Settings(unittest.TestCase):
    def run_program(self, program, *arguments, env=None):
        return subprocess.run([str(fleet.BIN / f"buckthornford-{program}"), *arguments],
                              capture_output=True, text=True, timeout=10, env=env)

    def test_bad_settings_end_with_one_line(self):
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

    def test_unknown_flags_and_words(self):
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

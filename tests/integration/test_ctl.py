"""Runs buckthornford-ctl against real nodes."""

import json
import subprocess
import tempfile
import unittest

import support
from support import fleet


class Ctl(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.fleet = support.small_fleet(first_port=22500, sampled=1)

    @classmethod
    def tearDownClass(cls):
        cls.fleet.kill()

    def ctl(self, *arguments, instance=0):
        node = self.fleet.instances[instance]["operators"]
        return subprocess.run([str(fleet.BIN / "buckthornford-ctl"), f"--node={node}", *arguments],
                              capture_output=True, text=True, timeout=30)

    def ctl_json(self, *arguments, instance=0):
        return json.loads(self.ctl("--json", *arguments, instance=instance).stdout)

    def test_status_and_instances(self):
        self.assertIn("preset", self.ctl("status").stdout)
        self.assertEqual(self.ctl_json("status")["liveNodes"], 4)
        self.assertEqual(len(self.ctl_json("instances")["members"]), 4)
        self.assertIn("affirmer-1", self.ctl("instances", instance=3).stdout)

    def test_presets(self):
        self.assertIn("* ordinary", self.ctl("presets", "list").stdout)
        self.assertIn("rank", self.ctl("presets", "show", "peak").stdout)
        self.assertEqual(self.ctl("presets", "show", "nobody").returncode, 1)
        with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
            file.write('{"inForce": "x", "presets": {}}')
            file.flush()
            done = self.ctl("presets", "validate", file.name)
        self.assertEqual(done.returncode, 1)
        self.assertIn("presets", done.stderr)
        example = str(fleet.ROOT / "examples/haneul/presets.json")
        self.assertEqual(self.ctl("presets", "validate", example).returncode, 0)

    def test_a_deeply_nested_change_is_refused(self):
        node = self.fleet.instances[0]["operators"]
        for kind in ("replace", "put"):
            for nested in (b"[" * 400000 + b"]" * 400000, b'{"a":' * 100000 + b"1" + b"}" * 100000):
                body = (b'{"kind":"%s","id":"deep","preset":"p","document":' % kind.encode()
                        + nested + b"}")
                self.assertIn(fleet.http("POST", node, "/configuration", body)[0], (400, 422))
        self.assertEqual(self.ctl_json("status")["liveNodes"], 4)
        with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
            file.write('{"inForce": "x", "presets": ' + "[" * 400000 + "]" * 400000 + "}")
            file.flush()
            self.assertEqual(self.ctl("presets", "put", "p", file.name).returncode, 1)

    def test_switch_repeated_applies_once_and_outdated_is_refused(self):
        before = self.ctl_json("configuration")["revision"]
        accepted = self.ctl_json("--change_id=again", "presets", "switch", "maintenance")
        repeated = self.ctl_json("--change_id=again", "presets", "switch", "maintenance",
                                 instance=2)
        self.assertEqual(accepted["revision"], before + 1)
        self.assertEqual(repeated["revision"], accepted["revision"])
        outdated = self.ctl(f"--based_on={before}", "presets", "switch", "peak")
        self.assertEqual(outdated.returncode, 1)
        self.assertIn("again won", outdated.stderr)
        self.assertEqual(self.ctl("presets", "switch", "nobody").returncode, 1)

    def test_trace_and_top(self):
        trace = "0af7651916cd43dd8448eb211c80319c"
        headers = {"Request-Class": "status", "Request-Caller": "dealers",
                   "traceparent": f"00-{trace}-b7ad6b7169203331-01"}
        fleet.http("GET", self.fleet.instances[0]["callers"], "/call/affirmer/status?nonce=t",
                   headers=headers)
        lines = self.ctl("trace", trace).stdout.splitlines()
        # Two hops with an entry span and a gate span each, every span the child of the one before.
        self.assertEqual(len(lines), 4, lines)
        self.assertEqual([len(line) - len(line.lstrip()) for line in lines], [0, 2, 4, 6])
        self.assertEqual(self.ctl("trace", "0" * 32).returncode, 1)
        top = self.ctl("top")
        self.assertEqual(top.returncode, 0)
        self.assertIn("affirmer", top.stdout)

    def test_explain(self):
        lines = [
            'node-b {"time_ms":7,"event":"attempt-failed","request":"r1.c1","target":"t","status":503}',
            'node-a {"time_ms":9,"event":"request-ended","request":"r1","outcome":"failed"}',
            'node-a {"time_ms":5,"event":"request-ended","request":"r12","outcome":"completed"}',
            '{"time_ms":8,"event":"started"}',
            "cut off {",
        ]
        with tempfile.NamedTemporaryFile("w", suffix=".log") as file:
            file.write("\n".join(lines))
            file.flush()
            output = self.ctl("explain", "r1", file.name).stdout.splitlines()
            self.assertEqual(self.ctl("explain", "r9", file.name).returncode, 1)
        self.assertEqual(output, ["r1", "  node-a request-ended outcome=failed", "  r1.c1",
                                  "    node-b attempt-failed status=503 target=t"])
        self.assertEqual(self.ctl("explain", "r1", "/nowhere").returncode, 1)

    def test_drain_and_undrain(self):
        self.assertEqual(self.ctl("drain", instance=3).returncode, 0)
        fleet.wait_until(lambda: self.ctl_json("status", instance=3)["state"] == "leaving", 5,
                         "leaving")
        self.assertEqual(self.ctl("undrain", instance=3).returncode, 0)
        fleet.wait_until(lambda: self.ctl_json("status", instance=3)["state"] == "serving", 5,
                         "serving")

    def test_metrics(self):
        text = self.ctl("metrics").stdout
        self.assertIn("buckthornford_gate_limit", text)

    def test_unreachable_node(self):
        done = subprocess.run([str(fleet.BIN / "buckthornford-ctl"), "--node=127.0.0.1:9",
                               "status"],
                              capture_output=True, text=True, timeout=30)
        self.assertEqual(done.returncode, 1)
        self.assertIn("cannot reach", done.stderr)


if __name__ == "__main__":
    unittest.main()

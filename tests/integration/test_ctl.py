"""The operators' command line against a running fleet."""

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

    def ctl(self, *arguments, slot=0):
        node = self.fleet.slots[slot]["operators"]
        return subprocess.run([str(fleet.BIN / "buckthornford-ctl"), f"--node={node}", *arguments],
                              capture_output=True, text=True, timeout=30)

    def ctl_json(self, *arguments, slot=0):
        return json.loads(self.ctl("--json", *arguments, slot=slot).stdout)

    def test_status_and_instances(self):
        self.assertIn("preset", self.ctl("status").stdout)
        self.assertEqual(self.ctl_json("status")["liveNodes"], 4)
        self.assertEqual(len(self.ctl_json("instances")["members"]), 4)
        self.assertIn("affirmer-1", self.ctl("instances", slot=3).stdout)

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

    def test_switch_once_and_lose_a_race(self):
        before = self.ctl_json("configuration")["revision"]
        first = self.ctl_json("--change_id=again", "presets", "switch", "maintenance")
        again = self.ctl_json("--change_id=again", "presets", "switch", "maintenance", slot=2)
        self.assertEqual(first["revision"], before + 1)
        self.assertEqual(again["revision"], first["revision"])
        late = self.ctl(f"--based_on={before}", "presets", "switch", "peak")
        self.assertEqual(late.returncode, 1)
        self.assertIn("again won", late.stderr)
        self.assertEqual(self.ctl("presets", "switch", "nobody").returncode, 1)

    def test_trace_and_top(self):
        trace = "0af7651916cd43dd8448eb211c80319c"
        headers = {"Request-Class": "status", "Request-Caller": "dealers",
                   "traceparent": f"00-{trace}-b7ad6b7169203331-01"}
        fleet.http("GET", self.fleet.slots[0]["callers"], "/call/affirmer/status?nonce=t",
                   headers=headers)
        lines = self.ctl("trace", trace).stdout.splitlines()
        # Entry and gate of two hops, each below the one before.
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
            told = self.ctl("explain", "r1", file.name).stdout.splitlines()
            self.assertEqual(self.ctl("explain", "r9", file.name).returncode, 1)
        self.assertEqual(told, ["r1", "  node-a request-ended outcome=failed", "  r1.c1",
                                "    node-b attempt-failed status=503 target=t"])
        self.assertEqual(self.ctl("explain", "r1", "/nowhere").returncode, 1)

    def test_drain_and_back(self):
        self.assertEqual(self.ctl("drain", slot=3).returncode, 0)
        fleet.wait_until(lambda: self.ctl_json("status", slot=3)["state"] == "leaving", 5, "leaving")
        self.assertEqual(self.ctl("undrain", slot=3).returncode, 0)
        fleet.wait_until(lambda: self.ctl_json("status", slot=3)["state"] == "serving", 5, "serving")

    def test_metrics(self):
        text = self.ctl("metrics").stdout
        self.assertIn("buckthornford_gate_limit", text)

    def test_no_node_there(self):
        done = subprocess.run([str(fleet.BIN / "buckthornford-ctl"), "--node=127.0.0.1:9", "status"],
                              capture_output=True, text=True, timeout=30)
        self.assertEqual(done.returncode, 1)
        self.assertIn("cannot reach", done.stderr)


if __name__ == "__main__":
    unittest.main()

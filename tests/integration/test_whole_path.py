"""The examples under two seconds of load: every request has an outcome and nothing runs twice."""

import unittest

import support
from support import fleet


class WholePath(unittest.TestCase):
    def test_kivu_ridge(self):
        self.run_example("kivu-ridge", 22200)

    def test_haneul(self):
        self.run_example("haneul", 22300)

    def run_example(self, name, port):
        services, presets, mix = fleet.read_example(name)
        mix["phases"] = [{"name": "short", "seconds": 2, "rate": 120}]
        with fleet.Fleet(first_port=port) as running:
            running.add_services(services)
            running.wait_ready()
            running.put_document(presets)
            report = running.run_load(mix)
            self.assertEqual(report["exit"], 0, report)
            for field in ("lost", "duplicates", "cut", "crossed", "falseNotRun"):
                self.assertEqual(report[field], 0, field)
            self.assertGreater(report["planned"], 100)
            self.assertEqual(running.stop(), [], "processes that did not stop cleanly")


if __name__ == "__main__":
    unittest.main()

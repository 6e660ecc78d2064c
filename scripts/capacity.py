"""Measures the slopes that docs/CAPACITY.md works with.

usage: capacity.py [--counts 10,30,100,300]
"""

import argparse
import json
import os
import time

import fleet
import scenarios

TICKS = os.sysconf("SC_CLK_TCK")


def cpu_seconds(pid):
    with open(f"/proc/{pid}/stat", encoding="ascii") as stat:
        fields = stat.read().rsplit(") ", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def resident_mb(pid):
    with open(f"/proc/{pid}/status", encoding="ascii") as status:
        for line in status:
            if line.startswith("VmRSS"):
                return int(line.split()[1]) / 1024
    return 0.0


def peer_bytes(slot):
    text = fleet.http("GET", slot["operators"], "/metrics")[2].decode()
    return sum(float(line.split()[1]) for line in text.splitlines()
               if line.startswith("buckthornford_peer_bytes"))


def mean(values):
    values = list(values)
    return sum(values) / len(values)


def idle_nodes(count):
    """Control cost of `count` nodes that know each other and serve nothing."""
    flags = {"caller_threads": 8, "upstream_threads": 8, "spread_ms": 1500}
    with fleet.Fleet(first_port=30000, node_flags=flags) as running:
        for i in range(count):
            slot = fleet.Slot(f"node-{i}", "service", f"zone-{i % 5}", f"region-{i % 2}")
            for door in ("callers", "upstream", "operators", "peers"):
                slot.addresses[door] = running.ports.take()
            slot.addresses["dialled"] = slot["peers"]
            slot.extra_node_flags = {}
            running.slots.append(slot)
            running.start_node(slot)
            if i < 3 or i % 20 == 0:
                time.sleep(0.3)
        fleet.wait_until(lambda: all(s.status()["liveNodes"] == count for s in running.slots), 60,
                         f"{count} nodes seen by all")
        running.put_document(scenarios.PRESETS)
        sample = running.slots[:: max(1, count // 20)]
        before = [(cpu_seconds(s.node.pid), peer_bytes(s), time.monotonic()) for s in sample]
        time.sleep(15)
        after = [(cpu_seconds(s.node.pid), peer_bytes(s), time.monotonic()) for s in sample]
        cpu = mean((b[0] - a[0]) / (b[2] - a[2]) for a, b in zip(before, after))
        sent = mean((b[1] - a[1]) / (b[2] - a[2]) for a, b in zip(before, after))
        reads = json.loads(fleet.http("GET", running.platform_address, "/admin/counters")[2])["reads"]
        begin = time.monotonic()
        fleet.http("POST", running.slots[0]["operators"], "/configuration",
                   {"kind": "switch", "id": "measured", "preset": "peak"}, timeout=20)
        running.wait_revision(2, 20)
        spread = time.monotonic() - begin
        streams = mean(resident_mb(s.node.pid) for s in sample)
        print(f"| {count} | {100 * cpu:.2f} | {streams:.1f} | {sent / 1000:.2f} | "
              f"{spread:.1f} | {reads} |", flush=True)


def calls(rate):
    """Processor time of a call at its entry and at its target's node."""
    flags = {"caller_threads": 100, "upstream_threads": 100}
    with fleet.Fleet(first_port=30000, node_flags=flags) as running:
        running.add("target-0", "affirmer", "a", "r", upstream={"slots": 64, "mean_ms": 2})
        running.add("entry-0", "portal", "a", "r")
        running.wait_ready()
        running.put_document(scenarios.PRESETS)
        request = dict(scenarios.mix(1)["requests"][1], resends=0)
        mix = {"requests": [request], "phases": [{"name": "run", "seconds": 10, "rate": rate}]}
        before = [cpu_seconds(s.node.pid) for s in running.slots]
        report = running.load(mix, entries=running.of("portal"), callers=100)
        after = [cpu_seconds(s.node.pid) for s in running.slots]
        per_call = [1e6 * (b - a) / report["planned"] for a, b in zip(before, after)]
        memory = [resident_mb(s.node.pid) for s in running.slots]
        print(f"| {rate} | {per_call[1]:.0f} | {per_call[0]:.0f} | {memory[1]:.1f} | "
              f"{memory[0]:.1f} |", flush=True)


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--counts", default="10,30,100,300")
    options = parser.parse_args()
    print("| nodes | processor, % of a core | resident MB | peer KB/s sent | "
          "change in force after s | reads of the platform |\n|---|---|---|---|---|---|")
    for count in options.counts.split(","):
        idle_nodes(int(count))
    print("\n| calls a second | us at the entry | us at the target's node | entry MB | target MB |"
          "\n|---|---|---|---|---|")
    for rate in (100, 300, 900):
        calls(rate)


if __name__ == "__main__":
    main()

"""Measures the cost per node and per call that docs/CAPACITY.md works with.

Prints two Markdown tables: idle nodes by number of nodes, and calls by rate.

usage: capacity.py [--counts 10,30,100,300]
"""

import argparse
import json
import os
import time

import fleet
import scenarios

CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def cpu_seconds(pid):
    with open(f"/proc/{pid}/stat", encoding="ascii") as stat:
        fields = stat.read().rsplit(") ", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


def resident_mb(pid):
    with open(f"/proc/{pid}/status", encoding="ascii") as status:
        for line in status:
            if line.startswith("VmRSS"):
                return int(line.split()[1]) / 1024
    return 0.0


def peer_bytes(instance):
    text = fleet.http("GET", instance["operators"], "/metrics")[2].decode()
    return sum(float(line.split()[1]) for line in text.splitlines()
               if line.startswith("buckthornford_peer_bytes"))


def mean(values):
    values = list(values)
    return sum(values) / len(values)


def idle_nodes(count):
    """Prints what membership and configuration cost for idle nodes without upstreams."""
    flags = {"caller_threads": 8, "upstream_threads": 8, "spread_ms": 1500}
    with fleet.Fleet(first_port=30000, node_flags=flags) as running:
        for i in range(count):
            instance = fleet.Instance(f"node-{i}", "service", f"zone-{i % 5}", f"region-{i % 2}")
            for listener in ("callers", "upstream", "operators", "peers"):
                instance.addresses[listener] = running.ports.take()
            instance.addresses["dialled"] = instance["peers"]
            instance.extra_node_flags = {}
            running.instances.append(instance)
            running.start_node(instance)
            if i < 3 or i % 20 == 0:
                time.sleep(0.3)
        fleet.wait_until(lambda: all(s.status()["liveNodes"] == count for s in running.instances),
                         60, f"every node to see {count} live nodes")
        running.put_document(scenarios.PRESETS)
        sample = running.instances[:: max(1, count // 20)]
        before = [(cpu_seconds(s.node.pid), peer_bytes(s), time.monotonic()) for s in sample]
        time.sleep(15)
        after = [(cpu_seconds(s.node.pid), peer_bytes(s), time.monotonic()) for s in sample]
        cores = mean((b[0] - a[0]) / (b[2] - a[2]) for a, b in zip(before, after))
        sent_bytes_per_s = mean((b[1] - a[1]) / (b[2] - a[2]) for a, b in zip(before, after))
        reads = json.loads(fleet.http("GET", running.platform_address,
                                      "/admin/counters")[2])["reads"]
        start = time.monotonic()
        fleet.http("POST", running.instances[0]["operators"], "/configuration",
                   {"kind": "switch", "id": "measured", "preset": "peak"}, timeout=20)
        running.wait_revision(2, 20)
        spread = time.monotonic() - start
        memory_mb = mean(resident_mb(s.node.pid) for s in sample)
        print(f"| {count} | {100 * cores:.2f} | {memory_mb:.1f} | {sent_bytes_per_s / 1000:.2f} | "
              f"{spread:.1f} | {reads} |", flush=True)


def calls(rate):
    """Prints the processor time of a call at its entry node and at its target's node."""
    flags = {"caller_threads": 100, "upstream_threads": 100}
    with fleet.Fleet(first_port=30000, node_flags=flags) as running:
        running.add("target-0", "affirmer", "a", "r", upstream={"slots": 64, "mean_ms": 2})
        running.add("entry-0", "portal", "a", "r")
        running.wait_ready()
        running.put_document(scenarios.PRESETS)
        request = dict(scenarios.mix(1)["requests"][1], resends=0)
        mix = {"requests": [request], "phases": [{"name": "run", "seconds": 10, "rate": rate}]}
        before = [cpu_seconds(s.node.pid) for s in running.instances]
        report = running.run_load(mix, entries=running.instances_of("portal"), callers=100)
        after = [cpu_seconds(s.node.pid) for s in running.instances]
        us_per_call = [1e6 * (b - a) / report["planned"] for a, b in zip(before, after)]
        memory_mb = [resident_mb(s.node.pid) for s in running.instances]
        print(f"| {rate} | {us_per_call[1]:.0f} | {us_per_call[0]:.0f} | {memory_mb[1]:.1f} | "
              f"{memory_mb[0]:.1f} |", flush=True)


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--counts", default="10,30,100,300")
    options = parser.parse_args()
    print("| nodes | processor, % of a core | resident MB | KB/s sent on peer streams | "
          "change active on all nodes after s | reads of the platform |\n|---|---|---|---|---|---|")
    for count in options.counts.split(","):
        idle_nodes(int(count))
    print("\n| calls/s | us at the entry node | us at the target's node | entry MB | target MB |"
          "\n|---|---|---|---|---|")
    for rate in (100, 300, 900):
        calls(rate)


if __name__ == "__main__":
    main()

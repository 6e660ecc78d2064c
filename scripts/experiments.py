"""Runs the overload experiments under the naive and the buckthornford policy.

Prints a Markdown table for each experiment: median and range over the seeds, and their ratio.

usage: experiments.py [--seeds 1,2,3] [--only NAME] [--quick] [--write docs/RESULTS.md]
"""

import argparse
import statistics
import sys

import fleet

POLICIES = ("naive", "buckthornford")

PRESETS = {
    "inForce": "peak",
    "presets": {
        "peak": {
            "classes": [
                {"name": "affirmation", "rank": 0, "retries": 3, "timeoutMs": 2000},
                {"name": "status", "rank": 1, "retries": 2, "timeoutMs": 1000},
                {"name": "audit", "rank": 2, "retries": 1, "timeoutMs": 1000},
            ],
            "ruling": {"order": "earliest-deadline"},
        }
    },
}


def request_kind(name, class_name, operation="op", method="GET", weight=1.0, **more):
    fields = {"name": name, "class": class_name, "caller": f"{name}-caller", "service": "affirmer",
              "operation": operation, "method": method, "weight": weight, "timeoutMs": 1000}
    fields.update(more)
    return fields


def start(policy, port, services, presets=None, **node_flags):
    flags = {"caller_threads": 1000, "upstream_threads": 200, "key_life_ms": 10000}
    flags.update(node_flags)
    running = fleet.Fleet(first_port=port, policy=policy, node_flags=flags)
    try:
        for name, targets, upstream in services:
            for i in range(targets):
                running.add(f"{name}-{i}", name, f"kgl-{'ab'[i % 2]}", "kigali",
                            upstream=dict(upstream))
        running.wait_ready()
        running.put_document(presets or PRESETS)
    except Exception:
        running.kill()
        raise
    return running


def phase(report, name):
    return next(p for p in report["phases"] if p["name"] == name)


def recovery_seconds(report, trigger_end, normal_rate):
    """Seconds from the trigger's end until completions stay near the offered rate.

    Four windows of one second, each a step after the one before, must hold 90% of it, and the
    first two seconds 95% less 3%. Infinite if that never happens.
    """
    step_s = report["seriesStepMs"] / 1000
    completed = [0] * (max(len(s) for s in report["series"].values()) + 4)
    for completions in report["series"].values():
        for i, count in enumerate(completions):
            completed[i] += count
    first = int(trigger_end / step_s)
    window = int(1 / step_s)
    last = int(sum(p["seconds"] for p in report["phases"]) / step_s) - window
    for i in range(first, last):
        if all(sum(completed[j:j + window]) >= 0.9 * normal_rate
               for j in range(i, min(i + 4, last))) \
                and sum(completed[i:i + 2 * window]) >= 0.95 * 2 * normal_rate * 0.97:
            return i * step_s - trigger_end
    return float("inf")


# Each experiment runs once with one policy and seed and returns {measure: value}.

def overload(policy, seed, quick, port):
    seconds = 6 if quick else 30
    upstream = {"slots": 16, "knee": 8, "mean_ms": 80, "next": "terms"}
    leaf = {"slots": 8, "mean_ms": 5}
    capacity = 3 * 8 / 0.085
    mix = {
        "requests": [
            request_kind("affirm", "affirmation", "affirm", "POST", 0.2, timeoutMs=2000, resends=2,
                         usesKey=True),
            request_kind("status", "status", "status", weight=0.6, resends=2),
            request_kind("audit", "audit", "export", weight=0.2, resends=2),
        ],
        "phases": [{"name": "before", "seconds": 4, "rate": capacity / 2},
                   {"name": "overload", "seconds": seconds, "rate": 3 * capacity},
                   {"name": "after", "seconds": 12, "rate": capacity / 2}],
    }
    with start(policy, port, [("affirmer", 3, upstream), ("terms", 3, leaf)]) as running:
        report = running.run_load(mix, entries=running.instances_of("affirmer"), seed=seed,
                                  callers=4000)
    classes = phase(report, "overload")["classes"]
    step_s = report["seriesStepMs"] / 1000
    during = slice(int(4 / step_s), int((4 + seconds) / step_s))
    completed = sum(sum(series[during]) for series in report["series"].values())
    measures = {f"goodput of {name}, share of offered": c["completed"] / max(1, c["offered"])
                for name, c in classes.items()}
    measures["goodput of all, share of capacity"] = completed / (capacity * seconds)
    measures["recovery, s"] = recovery_seconds(report, 4 + seconds, capacity / 2)
    measures["executions per request"] = report["executions"]["affirmer"] / report["planned"]
    measures["duplicates"] = report["duplicates"]
    measures["false reports of not run"] = report["falseNotRun"]
    return measures


def crest(policy, seed, quick, port):
    upstream = {"slots": 8, "mean_ms": 30}
    base = 120
    mix = {
        "requests": [request_kind("trigger", "affirmation", "set", "POST", 0.3, usesKey=True,
                                  resends=1),
                     request_kind("status", "status", "status", weight=0.7, resends=1)],
        "phases": [{"name": "low", "seconds": 4, "rate": base},
                   {"name": "rise", "seconds": 2, "rate": 3.5 * base},
                   {"name": "crest", "seconds": 3 if quick else 6, "rate": 6 * base},
                   {"name": "low again", "seconds": 2, "rate": base}],
    }
    with start(policy, port, [("affirmer", 3, upstream)]) as running:
        report = running.run_load(mix, seed=seed, callers=1000)
    crest_classes = phase(report, "crest")["classes"]
    measures = {}
    for name, row in crest_classes.items():
        measures[f"p50 of {name} at the crest, ms"] = row["p50Ms"]
        measures[f"p99 of {name} at the crest, ms"] = row["p99Ms"]
        measures[f"share of {name} completed at the crest"] = \
            row["completed"] / max(1, row["offered"])
    return measures


def stragglers(policy, seed, quick, port):
    upstream = {"slots": 8, "mean_ms": 20, "long_factor": 50}
    seconds = 6 if quick else 15
    short = request_kind("status", "status", "status", weight=0.99)
    long = request_kind("export", "audit", "long-export", weight=0.01, timeoutMs=5000)
    # Short work alone keeps 45% of the slots busy, the stragglers another 22%.
    rate = 3 * 8 / 0.020 * 0.45
    p99 = {}
    for name, kinds in (("without", [short]), ("with", [short, long])):
        mix = {"requests": kinds, "phases": [{"name": "warm", "seconds": 4, "rate": rate},
                                             {"name": "run", "seconds": seconds, "rate": rate}]}
        with start(policy, port, [("affirmer", 3, upstream)]) as running:
            report = running.run_load(mix, seed=seed, callers=1000)
        row = phase(report, "run")["classes"]["status"]
        p99[name] = row["p99Ms"]
        served = row["completed"] / row["offered"]
    return {"p99 of short work without stragglers, ms": p99["without"],
            "p99 of short work with stragglers, ms": p99["with"],
            "ratio with to without": p99["with"] / p99["without"],
            "share of short work completed with stragglers": served}


def slowed(policy, seed, quick, port):
    upstream = {"slots": 16, "mean_ms": 10}
    seconds = 6 if quick else 12
    mix = {"requests": [request_kind("status", "status", "status")],
           "phases": [{"name": "warm", "seconds": 4, "rate": 300},
                      {"name": "run", "seconds": seconds, "rate": 300}]}
    p99 = {}
    for name in ("without", "with"):
        with start(policy, port, [("affirmer", 6, upstream)]) as running:
            if name == "with":
                running.set_behaviour(running.instances[2], slowFactor=10)
            report = running.run_load(mix, seed=seed, callers=400)
        p99[name] = phase(report, "run")["classes"]["status"]["p99Ms"]
    return {"p99 with no target slowed, ms": p99["without"],
            "p99 with one target in six slowed 10x, ms": p99["with"],
            "ratio with to without": p99["with"] / p99["without"]}


def retries(policy, seed, _quick, port):
    depth = 8
    services = [(f"s{i}", 1, {"slots": 64, "mean_ms": 1, "next": f"s{i + 1}" if i < depth else ""})
                for i in range(1, depth + 1)]
    mix = {"requests": [dict(request_kind("status", "status", "status", timeoutMs=30000),
                             service="s1")],
           "phases": [{"name": "run", "seconds": 4, "rate": 5}]}
    with start(policy, port, services) as running:
        running.set_behaviour(running.instances[-1], failShare=1.0)
        report = running.run_load(mix, entries=running.instances_of("s1"), seed=seed)
    return {"leaf executions per request": report["executions"]["s8"] / report["planned"],
            "executions in all services per request":
                sum(report["executions"].values()) / report["planned"]}


def added(policy, seed, quick, port):
    upstream = {"slots": 64, "mean_ms": 2, "spread": 0}
    seconds = 5 if quick else 20
    via_nodes = request_kind("status", "status", "status")
    direct = dict(via_nodes, direct=True)
    phases = [{"name": "warm", "seconds": 2, "rate": 200},
              {"name": "run", "seconds": seconds, "rate": 200}]
    latencies = {}
    with start(policy, port, [("affirmer", 1, upstream), ("other", 1, {"mean_ms": 1})]) as running:
        other = running.instances_of("other")
        target = dict(callers=running.instances_of("affirmer")[0]["service"])
        for name, requests, entries in (("through", [via_nodes], other),
                                        ("direct", [direct], [target])):
            report = running.run_load({"requests": requests, "phases": phases}, entries=entries,
                                      seed=seed, run=name)
            latencies[name] = phase(report, "run")["classes"]["status"]
    return {f"latency added at {p}, ms": latencies["through"][key] - latencies["direct"][key]
            for p, key in (("p50", "p50Ms"), ("p90", "p90Ms"), ("p99", "p99Ms"))}


EXPERIMENTS = {
    "overload": (overload, "load of 3x the upstreams' capacity, callers re-send up to twice"),
    "crest": (crest, "load rises to 6x the base rate within 2 s"),
    "stragglers": (stragglers, "1% of the requests run 50x as long"),
    "slowed": (slowed, "one target in six slowed 10x, its reported load unchanged"),
    "retries": (retries, "call chain of depth 8, every execution of the last service fails"),
    "added": (added, "latency through two nodes less direct to the upstream, 200 requests/s"),
}


def as_text(value):
    return "never" if value == float("inf") else f"{value:.3g}"


def format_table(name, results, seeds):
    """Formats a Markdown table: measure, median and range by policy, ratio of the medians."""
    lines = [f"## {name}: {EXPERIMENTS[name][1]}", "",
             f"`scripts/experiments --only {name} --seeds {','.join(map(str, seeds))}`", "",
             "| measure | naive (min to max) | buckthornford (min to max) | ratio |",
             "|---|---|---|---|"]
    for measure in results["buckthornford"][0]:
        cells, medians = [], []
        for policy in POLICIES:
            values = [r.get(measure, float("inf")) for r in results[policy]]
            medians.append(statistics.median(values))
            cells.append(
                f"{as_text(medians[-1])} ({as_text(min(values))} to {as_text(max(values))})")
        naive, buckthornford = medians
        ratio = as_text(buckthornford / naive) if naive not in (0, float("inf")) else "-"
        lines.append(f"| {measure} | {cells[0]} | {cells[1]} | {ratio} |")
    return "\n".join(lines) + "\n"


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", default="1,2,3")
    parser.add_argument("--only", choices=sorted(EXPERIMENTS), action="append")
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--write", metavar="FILE")
    options = parser.parse_args()
    seeds = [int(seed) for seed in options.seeds.split(",")]
    sections = []
    for name in options.only or EXPERIMENTS:
        results = {policy: [] for policy in POLICIES}
        for seed in seeds:
            for policy in POLICIES:
                results[policy].append(EXPERIMENTS[name][0](policy, seed, options.quick, 24000))
        sections.append(format_table(name, results, seeds))
        print(sections[-1], flush=True)
    if options.write:
        with open(options.write, "w", encoding="utf-8") as file:
            file.write(
                "# Results\n\nMedian of the seeds, with the range; one machine of 8 cores, all "
                "processes on it.\nThe last column is buckthornford's median over naive's.\n\n"
                + "\n".join(sections))
    return 0


if __name__ == "__main__":
    sys.exit(main())

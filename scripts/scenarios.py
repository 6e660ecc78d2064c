"""Fault scenarios with real processes, checked against the ledgers of the upstreams.

A ledger lists what its upstream ran. Each scenario takes (policy, seed, first port) and returns
a list of checks: (condition, holds, detail).
"""

import json
import subprocess
import threading
import time

import fleet

PRESETS = {
    "inForce": "ordinary",
    "presets": {
        name: {
            "classes": [
                {"name": "affirmation", "rank": 0, "retries": 4, "timeoutMs": 2000},
                {"name": "status", "rank": 1, "retries": 3, "timeoutMs": 1000},
            ],
            "ruling": {"order": "earliest-deadline"},
        }
        for name in ("ordinary", "peak", "maintenance")
    },
}

UPSTREAM = {"slots": 16, "mean_ms": 10}


def mix(seconds, rate=150, **affirm):
    document = {
        "requests": [
            {"name": "affirm", "class": "affirmation", "caller": "matching-engines",
             "service": "affirmer", "operation": "affirm", "method": "POST", "weight": 0.5,
             "timeoutMs": 2000, "resends": 2, "usesKey": True},
            {"name": "status", "class": "status", "caller": "dealers", "service": "affirmer",
             "operation": "status", "weight": 0.5, "timeoutMs": 1000, "resends": 2},
        ],
        "phases": [{"name": "run", "seconds": seconds, "rate": rate}],
    }
    document["requests"][0].update(affirm)
    return document


def start(policy, port, targets=3, terms=0, **node_flags):
    """Starts instances of the service "affirmer", of "terms" if wanted, and two of "portal".

    No one calls "portal": its nodes are the entry nodes at which the load arrives.
    """
    running = fleet.Fleet(first_port=port, policy=policy, node_flags=node_flags)
    try:
        for i in range(targets):
            upstream = dict(UPSTREAM, next="terms" if terms else "")
            running.add(f"affirmer-{i}", "affirmer", f"kgl-{'ab'[i % 2]}", "kigali",
                        upstream=upstream)
        for i in range(terms):
            running.add(f"terms-{i}", "terms", f"kgl-{'ab'[i % 2]}", "kigali",
                        upstream={"slots": 16, "mean_ms": 3})
        for i in range(2):
            running.add(f"entry-{i}", "portal", f"kgl-{'ab'[i % 2]}", "kigali")
        running.wait_ready()
        running.put_document(PRESETS)
    except Exception:
        running.kill()
        raise
    return running


def invariants(report):
    """The checks that must pass under every fault."""
    total = max(1, report["planned"])
    unknown = sum(c["unknown"] for p in report["phases"] for c in p["classes"].values())
    suspects = " ".join(report["suspects"][:3])
    return [
        ("every request has an outcome", report["lost"] == 0, f"lost {report['lost']}"),
        ("non-idempotent work runs at most once", report["duplicates"] == 0,
         f"duplicates {report['duplicates']} {suspects}"),
        ("an outcome \"not run\" is true: nothing ran", report["falseNotRun"] == 0,
         f"false {report['falseNotRun']}"),
        ("answers are complete and match their requests", report["cut"] + report["crossed"] == 0,
         f"cut {report['cut']}, crossed {report['crossed']}"),
        ("at most 5% of the outcomes are unknown", unknown <= 0.05 * total,
         f"{unknown} of {total}"),
    ]


def share_completed(report, at_least):
    rows = [c for p in report["phases"] for c in p["classes"].values()]
    completed = sum(c["completed"] for c in rows)
    offered = max(1, sum(c["offered"] for c in rows))
    return ("most requests complete", completed >= at_least * offered, f"{completed} of {offered}")


def run_steps(running, load_process, *steps):
    """Runs steps of (delay in seconds, action) while the load runs; returns the load's report."""
    for delay, action in steps:
        time.sleep(delay)
        action()
    return running.finish_load(load_process)


def nodes_killed(policy, seed, port):
    with start(policy, port) as running:
        victim = running.instances[seed % 3]
        load = running.start_load(mix(8), entries=running.instances_of("portal"), seed=seed)
        report = run_steps(running, load, (2, victim.node.kill),
                           (1, lambda: running.start_node(victim)))
        return invariants(report) + [share_completed(report, 0.95)]


def upstream_killed(policy, seed, port):
    with start(policy, port) as running:
        victim = running.instances[seed % 3]
        # The killed upstream's ledger is lost, so only what runs after its restart can be checked.
        load = running.start_load(mix(8), entries=running.instances_of("portal"), seed=seed)
        report = run_steps(running, load, (2, victim.upstream.kill),
                           (1.5, lambda: running.start_upstream(victim)))
        return invariants(report) + [share_completed(report, 0.95)]


def both_restarted(policy, seed, port):
    with start(policy, port) as running:
        victim = running.instances[seed % 3]

        def restart():
            victim.node.kill()
            victim.upstream.kill()
            running.start_node(victim)
            running.start_upstream(victim)

        load = running.start_load(mix(8), entries=running.instances_of("portal"), seed=seed)
        report = run_steps(running, load, (2, restart), (2, restart))
        return invariants(report) + [share_completed(report, 0.95)]


def node_frozen(policy, seed, port):
    with start(policy, port) as running:
        victim = running.instances[seed % 3]
        load = running.start_load(mix(9), entries=running.instances_of("portal"), seed=seed)
        # 19 is SIGSTOP, 18 SIGCONT.
        report = run_steps(running, load, (2, lambda: victim.node.send_signal(19)),
                           (3, lambda: victim.node.send_signal(18)))
        return invariants(report) + [share_completed(report, 0.9)]


class Links:
    """The peer listeners of some instances, reached through the fault proxy."""

    def __init__(self, running, names):
        self.control = running.ports.take()
        self.addresses = {}
        links = []
        for name in names:
            listen, target = running.ports.take(), running.ports.take()
            self.addresses[name] = (listen, target)
            links.append(f"{name}={listen}/{target}")
        running.start_program("fault", "fault", links=",".join(links), control=self.control)
        fleet.wait_until(lambda: fleet.http("GET", self.control, "/")[0] == 404, 5, "fault proxy")

    def set(self, name, **fault):
        status, _, body = fleet.http("POST", self.control, f"/links/{name}", fault)
        assert status == 200, body


def behind_proxy(policy, port, **node_flags):
    """As start(), with the fault proxy in front of the targets' peer listeners."""
    running = fleet.Fleet(first_port=port, policy=policy, node_flags=node_flags)
    try:
        names = [f"affirmer-{i}" for i in range(3)]
        links = Links(running, names)
        for i, name in enumerate(names):
            listen, target = links.addresses[name]
            running.add(name, "affirmer", f"kgl-{'ab'[i % 2]}", "kigali", upstream=dict(UPSTREAM),
                        peers=listen, peers_listen=target)
        for i in range(2):
            running.add(f"entry-{i}", "portal", f"kgl-{'ab'[i % 2]}", "kigali")
        running.wait_ready()
        running.put_document(PRESETS)
    except Exception:
        running.kill()
        raise
    return running, links


def answers_lost(policy, seed, port):
    """Requests arrive and run, their answers are lost; callers re-send with the same keys."""
    running, links = behind_proxy(policy, port)
    with running:
        name = f"affirmer-{seed % 3}"
        load = running.start_load(mix(8), entries=running.instances_of("portal"), seed=seed)
        report = run_steps(running, load, (2, lambda: links.set(name, swallowToClient=True)),
                           (2, lambda: links.set(name)))
        return invariants(report) + [share_completed(report, 0.9)]


def silent_connections(policy, seed, port):
    """Open connections between nodes lose all data and stay open; new connections work."""
    running, links = behind_proxy(policy, port)
    with running:
        load = running.start_load(mix(8), entries=running.instances_of("portal"), seed=seed)
        steps = [(1.5, lambda n=n: links.set(n, swallowExisting=True)) for n in links.addresses]
        steps += [(0.2, lambda n=n: links.set(n)) for n in links.addresses]
        report = run_steps(running, load, *steps)
        return invariants(report) + [share_completed(report, 0.95)]


def streams_cut_midway(policy, seed, port):
    """Streams between nodes break repeatedly in the middle of answers."""
    running, links = behind_proxy(policy, port)
    with running:
        load = running.start_load(mix(8, answerBytes=3000), entries=running.instances_of("portal"),
                                  seed=seed)

        def break_streams():
            for name in links.addresses:
                links.set(name, cut=True)
            time.sleep(0.05)
            for name in links.addresses:
                links.set(name, breakAfterBytes=100_000 + 977 * seed)

        report = run_steps(running, load, *[(1, break_streams)] * 5)
        return invariants(report) + [share_completed(report, 0.9)]


def late_first_message(policy, seed, port):
    """A slow link delays the first send; the re-send through another entry node overtakes it."""
    running, links = behind_proxy(policy, port)
    with running:
        load = running.start_load(mix(8, timeoutMs=400), entries=running.instances_of("portal"),
                                  seed=seed)
        name = f"affirmer-{seed % 3}"
        report = run_steps(running, load, (2, lambda: links.set(name, delayMs=700)),
                           (2, lambda: links.set(name)))
        checks = [check for check in invariants(report)
                  if check[0] != "at most 5% of the outcomes are unknown"]
        return checks + [share_completed(report, 0.6)]


def platform_away(policy, seed, port):
    with start(policy, port) as running:
        checks = []
        load = running.start_load(mix(10), entries=running.instances_of("portal"), seed=seed)
        time.sleep(1)
        running.set_platform_faults(down=True)
        operator = running.instances[0]["operators"]
        change = {"kind": "switch", "id": "while-down", "preset": "peak"}
        status, _, body = fleet.http("POST", operator, "/configuration", change, timeout=20)
        checks.append(("a change is refused while the platform is down",
                       status == 503 and json.loads(body)["error"] == "platform-unavailable",
                       f"{status} {json.loads(body)['error']}"))
        late = running.add("affirmer-late", "affirmer", "kgl-a", "kigali", upstream=dict(UPSTREAM))
        fleet.wait_until(lambda: late.status()["revision"] == 1, 5, "revision 1 from peers")
        checks.append(("a new node gets the newest revision from its peers", True, "revision 1"))
        running.set_platform_faults(down=False)
        report = running.finish_load(load)
        return invariants(report) + [share_completed(report, 0.99)] + checks


def operators_race(policy, seed, port):
    """Concurrent changes, a lost answer and node restarts: no accepted change is lost."""
    with start(policy, port) as running:
        checks = []
        outcomes = []
        lock = threading.Lock()

        def change(instance, identity, preset, based_on=None):
            body = {"kind": "switch", "id": identity, "preset": preset}
            if based_on is not None:
                body["basedOn"] = based_on
            status, _, text = fleet.http("POST", instance["operators"], "/configuration", body,
                                         timeout=30)
            with lock:
                outcomes.append((identity, status, json.loads(text)))

        threads = [threading.Thread(target=change,
                                    args=(running.instances[i], f"race-{i}", preset, 1))
                   for i, preset in enumerate(("peak", "maintenance", "ordinary"))]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        accepted = [o for o in outcomes if o[1] == 200]
        refused = [o for o in outcomes if o[1] == 409]
        checks.append(("exactly one of three concurrent changes is accepted",
                       len(accepted) == 1 and len(refused) == 2,
                       f"{len(accepted)} accepted, {len(refused)} refused"))
        names_winner = bool(accepted) and all(o[2].get("winner") == accepted[0][0] for o in refused)
        checks.append(("refused changes name the accepted one", names_winner,
                       accepted[0][0] if accepted else "none"))
        running.set_platform_faults(loseAnswers=1.0)
        outcomes.clear()
        change(running.instances[1], "lost-answer", "maintenance")
        running.set_platform_faults()
        change(running.instances[2], "lost-answer", "maintenance")
        revisions = {o[2]["revision"] for o in outcomes if o[1] == 200}
        checks.append(("a change re-sent after a lost answer is applied once", revisions == {3},
                       f"revisions {sorted(revisions)}"))
        start_time = time.monotonic()
        running.wait_revision(3, 5)
        checks.append(("the change is active on every node within 5 s", True,
                       f"{time.monotonic() - start_time:.1f} s after the answer"))
        for instance in running.instances[:3]:
            instance.node.kill()
            running.start_node(instance)
        fleet.wait_until(lambda: all(s.status()["revision"] == 3 for s in running.instances), 10,
                         "revision 3 after restarts")
        presets = {s.status()["preset"] for s in running.instances}
        checks.append(("the active preset is the same after restarts", presets == {"maintenance"},
                       str(presets)))
        return checks


def rolling_replacement(policy, seed, port):
    """Every instance of a service is drained, stopped and replaced under load."""
    with start(policy, port, spread_ms=500, key_life_ms=3000) as running:
        load = running.start_load(mix(24, rate=100), entries=running.instances_of("portal"),
                                  seed=seed)
        statuses = []
        for instance in running.instances_of("affirmer"):
            time.sleep(1)
            statuses.append(instance.upstream.stop(20))
            statuses.append(instance.node.stop(20))
            running.start_node(instance)
            running.start_upstream(instance)
            fleet.wait_until(lambda s=instance: s.status()["state"] == "serving", 10,
                             "serving again")
        report = running.finish_load(load)
        classes = report["phases"][0]["classes"]
        refused = sum(c["notRun"] + c["failed"] + c["unknown"] for c in classes.values())
        # The ledgers of the replaced upstreams are gone, so "completedNotRun" can't be checked.
        return invariants(report) + [
            ("every process stops cleanly", statuses == [0] * 6, str(statuses)),
            ("no request is cut or refused", refused == 0,
             f"{refused} of {report['planned']}, {[c['reasons'] for c in classes.values()]}"),
        ]


def leaving_gets_no_work(policy, seed, port):
    with start(policy, port) as running:
        load = running.start_load(mix(6), entries=running.instances_of("portal"), seed=seed)
        time.sleep(1.5)
        instance = running.instances[0]
        fleet.http("POST", instance["operators"], "/drain")
        time.sleep(2)
        before = json.loads(fleet.http("GET", instance["service"], "/counters")[2])["started"]
        time.sleep(1)
        after = json.loads(fleet.http("GET", instance["service"], "/counters")[2])["started"]
        report = running.finish_load(load)
        return invariants(report) + [
            ("a leaving upstream gets no new work after 2 s", before == after,
             f"{after - before} new executions"), share_completed(report, 0.999)]


def killer_request(policy, seed, port):
    with fleet.Fleet(first_port=port, policy=policy) as running:
        for i in range(6):
            running.add(f"affirmer-{i}", "affirmer", "kgl-a", "kigali",
                        upstream=dict(UPSTREAM, may_crash="true"))
        running.wait_ready()
        running.put_document(PRESETS)
        headers = {"Request-Class": "status", "Request-Caller": "dealers"}
        path = f"/call/affirmer/status?crash=1&nonce=k{seed}"
        answers = []
        for i in range(6):
            entry = running.instances[(i + seed) % 6]
            status, answer, _ = fleet.http("GET", entry["callers"], path, headers=headers)
            answers.append((status, answer.get("Buckthornford-Reason")))
            time.sleep(0.3)
        dead = sum(1 for instance in running.instances if not instance.upstream.is_alive())
        checks = [("a crashing request takes down at most 3 instances", dead <= 3, f"{dead} dead"),
                  ("its caller gets 422 poisonous", answers[-1] == (422, "poisonous"),
                   str(answers[-1]))]
        ctl = [str(fleet.BIN / "buckthornford-ctl"), f"--node={running.instances[5]['operators']}"]
        listed = subprocess.run(ctl + ["--json", "poison", "list"], capture_output=True, text=True)
        contents = [row["content"] for row in json.loads(listed.stdout or "{}").get("contents", [])
                    if row["refused"]]
        checks.append(("ctl lists its content as refused", len(contents) == 1, str(contents)))
        other_status = fleet.http("GET", running.instances[0]["callers"],
                                  "/call/affirmer/status?nonce=ok",
                                  headers=headers)[0]
        checks.append(("other requests of the same kind are served", other_status == 200,
                       str(other_status)))
        if contents:
            subprocess.run(ctl + ["poison", "release", contents[0]], check=True,
                           capture_output=True)
            time.sleep(0.5)
            remaining = subprocess.run(ctl + ["--json", "poison", "list"], capture_output=True,
                                       text=True)
            checks.append(("ctl releases the content",
                           json.loads(remaining.stdout)["contents"] == [], "released"))
        return checks


def zone_cut(policy, seed, port):
    """The links between two zones are cut; callers re-send through entry nodes in both zones."""
    running = fleet.Fleet(first_port=port, policy=policy)
    with running:
        instances = [("affirmer-0", "a"), ("affirmer-1", "b"), ("affirmer-2", "a"),
                     ("affirmer-3", "b"),
                     ("entry-0", "a"), ("entry-1", "b")]
        control, links, peers, dials = running.ports.take(), [], {}, {"a": [], "b": []}
        for name, zone in instances:
            listen, proxied = running.ports.take(), running.ports.take()
            peers[name] = listen
            links.append(f"to-{name}={proxied}/{listen}")
            # Only the other zone's nodes connect through the proxy: cutting its links separates
            # the zones.
            dials["b" if zone == "a" else "a"].append(f"{listen}={proxied}")
        running.start_program("fault", "fault", links=",".join(links), control=control)
        for name, zone in instances:
            service = name.split("-")[0].replace("entry", "portal")
            running.add(name, service, f"kgl-{zone}", "kigali", upstream=dict(UPSTREAM),
                        peers=peers[name], dial=",".join(dials[zone]))
        running.wait_ready()
        running.put_document(PRESETS)

        def set_cut(on):
            for name, _ in instances:
                fleet.http("POST", control, f"/links/to-{name}", {"cut": on})

        load = running.start_load(mix(14), entries=running.instances_of("portal"), seed=seed)
        report = run_steps(running, load, (2, lambda: set_cut(True)), (5, lambda: set_cut(False)))
        running.wait_ready(15)
        return invariants(report) + [share_completed(report, 0.9),
                                     ("every node sees all others after the cut", True,
                                      "all serving")]


def caller_leaves(policy, seed, port):
    """When a caller disconnects, its work ends at every hop."""
    import socket
    with start(policy, port, terms=2) as running:
        for instance in running.instances_of("terms"):
            running.set_behaviour(instance, meanMs=4000)
        host, port_text = running.instances_of("portal")[0]["callers"].split(":")
        connections = []
        for i in range(8):
            connection = socket.create_connection((host, int(port_text)))
            connection.sendall((
                f"GET /call/affirmer/status?nonce=c{seed}{i} HTTP/1.1\r\nHost: x\r\n"
                                "Request-Class: status\r\nRequest-Caller: dealers\r\n"
                                "Request-Timeout: 10000\r\n\r\n").encode())
            connections.append(connection)

        def count(counter):
            return sum(json.loads(fleet.http("GET", s["service"], "/counters")[2])[counter]
                       for s in running.instances_of("terms"))

        # A new admission controller runs two executions at once; the other calls wait in its queue.
        fleet.wait_until(lambda: count("running") >= 2, 5, "executions at the second hop")
        for connection in connections:
            connection.close()
        start_time = time.monotonic()
        fleet.wait_until(lambda: count("running") == 0, 5, "the executions to end")
        stop_seconds = time.monotonic() - start_time
        started = count("started")
        time.sleep(1)
        return [("work is stopped at every hop on a caller's disconnect", stop_seconds < 1.0,
                 f"after {stop_seconds:.2f} s"),
                ("no execution starts after that", count("started") == started,
                 f"{started} started")]


def several_at_once(policy, seed, port):
    """A paused node, a silent link and a platform outage at once, twice in one run."""
    running, links = behind_proxy(policy, port)
    with running:
        load = running.start_load(mix(24), entries=running.instances_of("portal"), seed=seed)
        paused, silent_link = running.instances[seed % 3], f"affirmer-{(seed + 1) % 3}"

        def inject():  # 19 is SIGSTOP, 18 SIGCONT
            running.set_platform_faults(down=True)
            paused.node.send_signal(19)
            links.set(silent_link, swallowExisting=True)

        def clear():
            paused.node.send_signal(18)
            links.set(silent_link)
            running.set_platform_faults()

        report = run_steps(running, load, (3, inject), (3, clear), (4, inject), (3, clear))
        return invariants(report) + [share_completed(report, 0.8)]


SCENARIOS = {
    "nodes_killed": nodes_killed,
    "upstream_killed": upstream_killed,
    "both_restarted": both_restarted,
    "node_frozen": node_frozen,
    "answers_lost": answers_lost,
    "silent_connections": silent_connections,
    "streams_cut_midway": streams_cut_midway,
    "late_first_message": late_first_message,
    "zone_cut": zone_cut,
    "platform_away": platform_away,
    "operators_race": operators_race,
    "rolling_replacement": rolling_replacement,
    "leaving_gets_no_work": leaving_gets_no_work,
    "killer_request": killer_request,
    "caller_leaves": caller_leaves,
    "several_at_once": several_at_once,
}

"""The guarantees that a soak checks, from what callers received and upstreams ran."""

import json
import signal

DRAIN_S = 2.5  # as DrainMs of the settings
GRACE_S = 6.0  # as GraceS of the settings
NOT_RUN_STATUSES = (408, 421, 429, 503)
SERVED_SHARE = 0.95  # of the requests in the calm phase
LOSS_SLACK_S = 0.2  # within which a process that ends may drop a request that it has not passed on


class Checks:
    def __init__(self, deployment, requests):
        self.requests = {request["id"]: request for request in requests}
        self.runs = {}
        self.late_s = {}  # by request: how long after its deadline the upstream ended the work
        self.calls = {}  # that upstreams made, by id
        self.leaving_times = {}  # by upstream identity: when its node acknowledged its leaving
        self.deployment = deployment
        for instance in deployment.instances:
            self.read_ledger(instance)

    def read_ledger(self, instance):
        if not instance.ledger.exists():
            return
        for line in instance.ledger.read_text().splitlines():
            if not line.endswith("}"):
                continue  # The upstream was killed while it wrote this, before its work.
            entry = json.loads(line)
            entry["instance"] = instance
            if "run" in entry:
                self.runs.setdefault(entry["run"], []).append(entry)
            elif "late" in entry:
                self.late_s[entry["late"]] = entry["s"]
            elif "call" in entry:
                self.calls[entry["call"]] = dict(entry, status=None, sent=entry["time"])
            elif "called" in entry:
                self.calls[entry["called"]].update(ended=entry["time"], status=entry["status"],
                                                   signature=entry["signature"],
                                                   error=entry["error"])
            else:
                self.leaving_times[entry["identity"]] = entry["time"]

    def violations(self):
        """Runs all checks. Returns a text for each violation."""
        found = []
        for check in (self.at_most_once, self.true_refusals, self.only_asked, self.whole_answers,
                      self.no_revert, self.no_work_for_leaving, self.planned_stops_cut_nothing,
                      self.planned_stops_break_off_nothing, self.planned_stops_break_off_no_calls,
                      self.processes_live,
                      self.calm_requests_are_served):
            found += [f"{check.__name__}: {text}" for text in check()]
        return found

    def at_most_once(self):
        for request, runs in self.runs.items():
            asked = self.requests.get(request)
            if len(runs) > 1 and asked and not asked["idempotent"]:
                yield f"{request} ran {len(runs)} times, at {[run['identity'] for run in runs]}"

    def true_refusals(self):
        for request in self.requests.values():
            if request["status"] in NOT_RUN_STATUSES and not request["idempotent"] \
                    and request["id"] in self.runs:
                yield f"{request['id']} got status {request['status']} (not run), but ran"

    def only_asked(self):
        for request, runs in self.runs.items():
            call = self.calls.get(request)
            asked = dict(call, method="GET", body="") if call else self.requests.get(request)
            for run in runs:
                if asked is None:
                    yield f"{request} ran, but no caller sent it"
                elif (run["method"], run["path"], run["body"]) != (asked["method"], asked["path"],
                                                                   asked["body"]):
                    yield f"{request} ran with another method, path or body than sent: {run}"

    def whole_answers(self):
        for request in self.requests.values():
            if request["status"] != 200:
                continue
            expected = ("answer to " + request["id"], "sig-" + request["id"])
            if (request["answer"], request["signature"]) != expected:
                yield f"{request['id']} got {request['answer']!r} with {request['signature']}"

    def no_revert(self):
        """A node that served by a version of the configuration serves by no older one until it is
        restarted."""
        seen = {}
        for request in sorted(self.requests.values(), key=lambda request: request["sent"]):
            version = request.get("probe")
            if version is None or request["start"] is None:
                continue
            newest, known_at = seen.get(request["start"], (0, 0.0))
            if request["status"] == 200 and version > newest:
                seen[request["start"]] = (version, request["ended"])
            if request["status"] == 200 and version < newest and request["sent"] > known_at:
                yield f"{request['id']} was served by version {version} after {newest} was active"

    def no_work_for_leaving(self):
        for runs in self.runs.values():
            for run in runs:
                leaving_time = self.leaving_times.get(run["identity"])
                if leaving_time is None or run["time"] <= leaving_time + DRAIN_S:
                    continue
                # An interval in which the leaving began excuses nothing: drain_upstream records one
                # around each leaving that it causes, which would excuse the runs after every drain.
                is_undisturbed = not any(start <= run["time"] and end >= leaving_time
                                         for start, end in run["instance"].disturbed_intervals
                                         if not (start <= leaving_time <= end))
                if is_undisturbed:
                    yield f"{run['run']} reached {run['identity']}, leaving for {run['time'] - leaving_time:.2f} s"

    def planned_stops_cut_nothing(self):
        """Nodes are stopped in turn and in series that overlap, with no other fault: no call that
        ran loses its answer, none is held and then dropped, and no refused one ran."""
        for request in self.requests.values():
            if request["phase"] == "faults":
                continue
            if request["id"] not in self.runs:
                if request["status"] is None and request["ended"] - request["sent"] > LOSS_SLACK_S:
                    yield f"{self.describe(request)} was held and dropped: {request['error']}"
            elif request["status"] is None:
                yield f"{self.describe(request)} ran without an answer: {request['error']}"
            elif request["status"] in NOT_RUN_STATUSES and request["signature"] is None:
                yield f"{self.describe(request)} ran, but was refused with {request['status']}"

    def planned_stops_break_off_nothing(self):
        """What ran ends with the upstream's answer, or when the call's whole time limit is over."""
        for request in self.requests.values():
            if request["phase"] != "faults" and request["id"] in self.runs \
                    and request["status"] is not None and request["signature"] is None \
                    and request["ended"] - request["sent"] < request["limit_s"]:
                yield f"{self.describe(request)} ran and got the node's own {request['status']}"

    def planned_stops_break_off_no_calls(self):
        """The same for the calls that upstreams make at a node around its stop."""
        for name, call in self.calls.items():
            if call["sent"] < self.deployment.faults_ended or name not in self.runs \
                    or "ended" not in call or call["signature"] is not None \
                    or call["ended"] - call["sent"] >= call["limit_s"]:
                continue
            for stop in self.deployment.stops:
                if stop["instance"] == call["instance"].name and stop["role"] == "node" \
                        and stop["signal"] == signal.SIGTERM \
                        and stop["time"] < call["ended"] \
                        and call["sent"] < stop["time"] + GRACE_S + 1.0:
                    yield (f"call {name} ({call['path']}), sent {call['sent'] - stop['time']:.2f} s "
                           f"after SIGTERM to {stop['instance']}, ran and ended after "
                           f"{call['ended'] - call['sent']:.2f} s with the node's own "
                           f"{call['status']} {call['error']}")

    def since_stop_s(self, request):
        """Returns how long before the request its entry node got SIGTERM; None if it got none."""
        times = [stop["time"] for stop in self.deployment.stops
                 if stop["pid"] == request["entry"] and stop["signal"] == signal.SIGTERM]
        return request["sent"] - times[0] if times else None

    def describe(self, request):
        since_stop_s = self.since_stop_s(request)
        stop = "" if since_stop_s is None else f" {since_stop_s:.2f} s after its SIGTERM"
        late_s = self.late_s.get(request["id"])
        late = "" if late_s is None else f", upstream {late_s * 1000:.0f} ms late"
        return (f"{request['id']} ({request['path']}, sent to {request['entry']}{stop}, "
                f"ended after {request['ended'] - request['sent']:.2f} s{late})")

    def processes_live(self):
        yield from self.deployment.unexpected_exits

    def calm_requests_are_served(self):
        calm = [request for request in self.requests.values()
                if request["phase"] == "calm" and request["probe"] is None]
        served = sum(1 for request in calm if request["status"] == 200)
        if not calm or served < SERVED_SHARE * len(calm):
            yield f"{served} of {len(calm)} served after faults ended, wanted {SERVED_SHARE:.0%}"


def newest_is_active(deployment, status_of):
    """Whether every node serves the newest probe route and not the one before it."""
    newest, before = f"/probe-{deployment.version}/x", f"/probe-{deployment.version - 1}/x"
    return all(status_of(instance, newest) == 200 and status_of(instance, before) == 404
               for instance in deployment.instances)

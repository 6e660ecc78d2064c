"""The promises that a soak checks, from what callers and upstreams saw."""

import json

DRAIN_S = 2.5  # DrainMs of the settings
NOT_RUN = (408, 421, 429, 503)
SERVED_SHARE = 0.95  # of the requests on a calm day


class Checks:
    def __init__(self, deployment, requests):
        self.requests = {request["id"]: request for request in requests}
        self.runs = {}
        self.leavings = {}  # identity of an upstream: when its leaving was acknowledged
        self.deployment = deployment
        for instance in deployment.instances:
            self.read_ledger(instance)

    def read_ledger(self, instance):
        if not instance.ledger.exists():
            return
        for line in instance.ledger.read_text().splitlines():
            if not line.endswith("}"):
                continue  # The upstream was killed while it wrote; it hadn't begun the work.
            entry = json.loads(line)
            entry["instance"] = instance
            if "run" in entry:
                self.runs.setdefault(entry["run"], []).append(entry)
            else:
                self.leavings[entry["identity"]] = entry["time"]

    def broken(self):
        """All broken promises, a text each."""
        found = []
        for check in (self.at_most_once, self.true_refusals, self.only_asked, self.whole_answers,
                      self.no_revert, self.no_work_for_leaving, self.planned_stops_cut_nothing,
                      self.processes_live, self.calm_requests_are_served):
            found += [f"{check.__name__}: {text}" for text in check()]
        return found

    def at_most_once(self):
        for request, runs in self.runs.items():
            asked = self.requests.get(request)
            if len(runs) > 1 and asked and not asked["idempotent"]:
                yield f"{request} ran {len(runs)} times, at {[run['identity'] for run in runs]}"

    def true_refusals(self):
        for request in self.requests.values():
            if request["status"] in NOT_RUN and not request["idempotent"] and request["id"] in self.runs:
                yield f"{request['id']} got {request['status']} and ran"

    def only_asked(self):
        for request, runs in self.runs.items():
            asked = self.requests.get(request)
            for run in runs:
                if asked is None:
                    yield f"{request} ran and nobody sent it"
                elif (run["method"], run["path"], run["body"]) != (asked["method"], asked["path"], asked["body"]):
                    yield f"{request} ran changed: {run}"

    def whole_answers(self):
        for request in self.requests.values():
            if request["status"] != 200:
                continue
            expected = ("answer to " + request["id"], "sig-" + request["id"])
            if (request["answer"], request["signature"]) != expected:
                yield f"{request['id']} got {request['answer']!r} with {request['signature']}"

    def no_revert(self):
        """Within a start of a node, versions that callers saw in force only grow."""
        seen = {}
        for request in sorted(self.requests.values(), key=lambda request: request["sent"]):
            version = request.get("probe")
            if version is None or request["start"] is None:
                continue
            newest, known_at = seen.get(request["start"], (0, 0.0))
            if request["status"] == 200 and version > newest:
                seen[request["start"]] = (version, request["ended"])
            if request["status"] == 200 and version < newest and request["sent"] > known_at:
                yield f"{request['id']} was served by version {version} after {newest} was in force"

    def no_work_for_leaving(self):
        for runs in self.runs.values():
            for run in runs:
                left = self.leavings.get(run["identity"])
                if left is None or run["time"] <= left + DRAIN_S:
                    continue
                calm = not any(begin <= run["time"] and end >= left for begin, end in run["instance"].disturbed
                               if not (begin <= left <= end))
                if calm:
                    yield f"{run['run']} reached {run['identity']} {run['time'] - left:.2f} s after its leaving"

    def planned_stops_cut_nothing(self):
        """During the calm part, in which nodes are stopped one after the other."""
        for request in self.requests.values():
            if request["isCalm"] and request["status"] is None and request["id"] in self.runs:
                yield f"{request['id']} was passed on and its connection ended: {request['error']}"

    def processes_live(self):
        yield from self.deployment.unexpected

    def calm_requests_are_served(self):
        calm = [request for request in self.requests.values() if request["isCalm"]]
        served = sum(1 for request in calm if request["status"] == 200)
        if not calm or served < SERVED_SHARE * len(calm):
            yield f"{served} of {len(calm)} served after the faults had ended"


def newest_is_in_force(deployment, ask):
    """Whether every node serves the newest probe route and none before it."""
    newest, before = f"/probe-{deployment.version}/x", f"/probe-{deployment.version - 1}/x"
    return all(ask(instance, newest) == 200 and ask(instance, before) == 404
               for instance in deployment.instances)

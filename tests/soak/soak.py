"""Runs real processes under random faults and checks what the project guarantees to its callers.

usage: soak.py [--seed N] [--seconds S] [--instances N] [--callers N] [--stops N] [--series N]
               [--keep]

Faults are injected for S seconds. Then all requests must be served again, and nodes are stopped in
turn while callers go on (the calm phase), then in series that overlap. Exits with 1 on a violation,
and then prints each one and the folder with the logs, the requests, the faults and the stops.
"""

import argparse
import http.client
import json
import pathlib
import random
import shutil
import signal
import sys
import tempfile
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))

import faults  # noqa: E402
import fleet  # noqa: E402
import checks  # noqa: E402
from deployment import GRACE_S, HOST, LONG_TIMEOUT_MS, TIMEOUT_MS, Deployment, now  # noqa: E402

RECOVERY_TIMEOUT_S = 15  # until every node serves again after the faults
LAST_CALM_S = 4  # of the calm phase, after the last planned stop
STOP_GAP_S = (0.05, 0.8)  # between two SIGTERMs of a series
STOP_CALLERS = 60  # in a series, for all of its nodes
LONG_WORK_SHARE = 0.03  # of the requests in general; they still fit into the time limit
LONG_WORK_MS = (200, 1600)
STOP_LONG_WORK_SHARE = 0.6  # of the requests to a node that stops
STOP_LONG_WORK_MS = {"/long/x": (4000, 5500), "/status/x": (300, 4000), "/affirm/x": (300, 4000)}
CHAIN_SHARE = 0.25  # of the requests to a node that stops: their work makes a call
CHAIN_WORK_MS = (20, 3000)
EARLY_S = 1.0  # of a series, in which half of its callers begin to send
LIVE_SENDING_S = 3.0  # of a series, in which they send to nodes that are not stopped
CONCURRENT_FAULTS = 3
ANSWER_SLACK_S = 1.0  # callers wait this much longer than the request's deadline


class Caller(threading.Thread):
    """Sends one request after the other, on a connection that it keeps until it breaks."""

    def __init__(self, number, soak):
        super().__init__(daemon=True)
        self.number = number
        self.soak = soak
        self.random = random.Random(soak.seed * 1000 + number)
        self.count = 0
        self.connection = None
        self.retry_after_s = 0.0  # that the last answer asked for
        self.requests = []
        self.paths = ["/status/x", "/affirm/x", "probe"]
        self.long_work = (LONG_WORK_SHARE, dict.fromkeys(self.paths, LONG_WORK_MS))
        self.work_random = random.Random(f"work {soak.seed} {number}")

    def run(self):
        while not self.soak.is_over:
            instance = self.soak.deployment.instances[
                (self.number + self.count // 20) % len(self.soak.deployment.instances)]
            self.send_random_request(instance)
            time.sleep(self.retry_after_s or self.random.uniform(0.0, 0.02))

    def send_random_request(self, instance):
        path = self.random.choice(self.paths)
        share, ranges_ms = self.long_work
        if path != "probe" and self.work_random.random() < share:
            path = path.replace("x", f"work-{self.work_random.randint(*ranges_ms[path])}")
        self.send_request(instance, path)

    def send_request(self, instance, path):
        self.count += 1
        request = {"id": f"c{self.number}-{self.count}", "body": "", "method": "GET", "probe": None,
                   "start": instance.node.pid, "entry": instance.node.pid, "status": None,
                   "answer": None, "signature": None, "error": "", "phase": self.soak.phase}
        if path == "probe":
            request["probe"] = max(1, self.soak.deployment.version - self.random.choice([0, 0, 1]))
            path = f"/probe-{request['probe']}/x"  # The probed route may have been removed.
        request["idempotent"] = not path.startswith(("/affirm/", "/long/"))
        limit_ms = LONG_TIMEOUT_MS if path.startswith(("/long/", "/chain/")) else TIMEOUT_MS
        request["limit_s"] = limit_ms / 1000
        if not request["idempotent"]:
            request.update(method="POST", body=f"amount={self.count}")
        request.update(path=path, sent=now())
        self.requests.append(request)
        self.retry_after_s = 0.0
        try:
            self.exchange(instance, request)
        except (OSError, http.client.HTTPException) as error:
            request["error"] = repr(error)
            self.connection = None
        request["ended"] = now()
        if instance.node.pid != request["start"]:
            request["start"] = None  # Restarted meanwhile: it is unknown which start answered.
        return request

    def connect(self, instance):
        host, port = instance.callers.split(":")
        self.connection = (instance, http.client.HTTPConnection(
            host, int(port), timeout=TIMEOUT_MS / 1000 + ANSWER_SLACK_S))
        self.connection[1].connect()

    def exchange(self, instance, request):
        if self.connection is None or self.connection[0] is not instance:
            self.connect(instance)
        connection = self.connection[1]
        connection.timeout = request["limit_s"] + ANSWER_SLACK_S
        if connection.sock:
            connection.sock.settimeout(connection.timeout)
        headers = {"Host": HOST, "X-Request-Id": request["id"],
                   "X-Deadline-Ms": str(round(request["limit_s"] * 1000))}
        connection.request(request["method"], request["path"], request["body"] or None, headers)
        response = connection.getresponse()
        answer = response.read().decode()
        if response.status in checks.NOT_RUN_STATUSES:
            self.retry_after_s = float(response.headers.get("Retry-After", 0.0))
        request.update(status=response.status, answer=answer,
                       signature=response.headers.get("X-Server-Signature"))


class StopCaller(Caller):
    """Opens a connection to a node before a series of stops, keeps it idle until some moment of the
    series and then sends requests to the node: until its process is gone, or for some seconds if
    it isn't one of those that are stopped."""

    def __init__(self, number, soak, instance, is_stopped):
        super().__init__(number, soak)
        self.instance = instance
        self.process = instance.node
        self.paths = [*self.paths, "/long/x", "/long/x"]
        self.long_work = (STOP_LONG_WORK_SHARE, STOP_LONG_WORK_MS)
        self.chain_random = random.Random(f"chains {soak.seed} {number}")
        self.end = None if is_stopped else now() + LIVE_SENDING_S
        self.wait_s = self.random.uniform(0.0, self.random.choice([EARLY_S, GRACE_S]))
        self.start()

    def run(self):
        self.connect(self.instance)
        time.sleep(self.wait_s)
        while self.process.poll() is None and (self.end is None or now() < self.end):
            if self.chain_random.random() < CHAIN_SHARE:
                work_ms = self.chain_random.randint(*CHAIN_WORK_MS)
                self.send_request(self.instance, f"/chain/work-{work_ms}")
            else:
                self.send_random_request(self.instance)
            time.sleep(self.retry_after_s or self.random.uniform(0.0, 0.3))


class Soak:
    def __init__(self, options, folder):
        self.seed = options.seed
        self.options = options
        self.random = random.Random(options.seed)
        self.deployment = Deployment(options.instances, options.seed, folder)
        self.faults = faults.Faults(self.deployment, self.random)
        self.callers = [Caller(i, self) for i in range(options.callers)]
        self.stop_callers = []
        self.is_over = False
        self.phase = "faults"  # then "calm", "stops" and "calm" again

    def run(self):
        """Runs the whole soak. Returns a text for each violation."""
        prober = Caller(len(self.callers), self)
        try:
            self.deployment.wait_ready(RECOVERY_TIMEOUT_S)
            fleet.wait_until(lambda: self.serves_everywhere(prober), RECOVERY_TIMEOUT_S,
                             "service of every node at the start")
            for caller in self.callers:
                caller.start()
            self.inject_faults(self.options.seconds)
            violations = self.check_recovery(prober)
            self.deployment.faults_ended = now()
            self.stop_nodes_in_turn()
            violations += self.stop_nodes_in_series(prober)
            self.phase = "calm"
            time.sleep(LAST_CALM_S)
            self.is_over = True
            for caller in self.callers:
                caller.join()
            for instance in self.deployment.instances:
                instance.report_if_ended("node")
                instance.report_if_ended("upstream")
            requests = self.requests() + prober.requests
            return violations + checks.Checks(self.deployment, requests).violations()
        finally:
            self.is_over = True
            self.deployment.close()

    def requests(self):
        return [request for caller in self.callers + self.stop_callers
                for request in caller.requests]

    def serves_everywhere(self, prober):
        return all(prober.send_request(instance, path)["status"] == 200
                   for instance in self.deployment.instances for path in ("/status/x", "/affirm/x"))

    def inject_faults(self, seconds):
        """Injects faults for `seconds` in several threads, so that faults overlap."""
        end = now() + seconds

        def inject_in_series():
            while now() < end:
                self.faults.inject_random()
                time.sleep(self.random.uniform(0.0, 0.6))

        threads = [threading.Thread(target=inject_in_series) for _ in range(CONCURRENT_FAULTS)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def check_recovery(self, prober):
        """Checks that every node serves by the newest configuration soon after all faults ended."""
        self.deployment.publish_configuration()
        status_of = lambda instance, path: \
            prober.send_request(instance, path)["status"]  # noqa: E731
        try:
            fleet.wait_until(lambda: checks.newest_is_active(self.deployment, status_of)
                             and self.serves_everywhere(prober), RECOVERY_TIMEOUT_S,
                             "every node to serve by the newest configuration")
        except TimeoutError as error:
            return [f"recovery: {error}"]
        return []

    def stop_nodes_in_turn(self):
        """Stops and restarts some nodes, one after the other, while callers go on."""
        self.phase = "calm"
        for instance in self.deployment.instances[: self.options.stops]:
            self.restart(instance)
            fleet.wait_until(instance.is_ready, RECOVERY_TIMEOUT_S, f"readiness of {instance.name}")

    @staticmethod
    def restart(instance):
        instance.end("node", signal.SIGTERM, GRACE_S)
        instance.start_node()

    def stop_nodes_in_series(self, prober):
        """Stops some to most of the nodes, each a fraction of a second after the one before, while
        callers go on, also with the nodes that stop. Returns a text for each violation."""
        self.phase = "stops"
        drawn = random.Random(f"stops {self.seed}")
        instances = self.deployment.instances
        for _ in range(self.options.series):
            stopped = drawn.sample(instances, drawn.randint(2, max(2, len(instances) - 1)))
            threads = []
            for instance in instances:
                for _ in range(max(1, STOP_CALLERS // len(instances))):
                    number = len(self.callers) + 1 + len(self.stop_callers)
                    self.stop_callers.append(StopCaller(number, self, instance,
                                                        instance in stopped))
            for instance in stopped:
                threads.append(threading.Thread(target=self.restart, args=(instance,)))
                threads[-1].start()
                time.sleep(drawn.uniform(*STOP_GAP_S))
            for thread in threads + self.stop_callers:
                thread.join()
            try:
                fleet.wait_until(lambda: self.serves_everywhere(prober), RECOVERY_TIMEOUT_S,
                                 "service of every node after a series of stops")
            except TimeoutError as error:
                return [f"series: {error}"]
        return []


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=15, help="how long faults are injected")
    parser.add_argument("--instances", type=int, default=6)
    parser.add_argument("--callers", type=int, default=12)
    parser.add_argument("--stops", type=int, default=2,
                        help="nodes that are stopped in turn in the calm phase")
    parser.add_argument("--series", type=int, default=2,
                        help="series of stops that overlap, after these")
    parser.add_argument("--keep", action="store_true",
                        help="keep the logs of a run without violations too")
    options = parser.parse_args()
    folder = tempfile.mkdtemp(prefix=f"soak-{options.seed}-")
    soak = Soak(options, folder)
    violations = soak.run()
    requests = soak.requests()
    statuses = {}
    for request in requests:
        statuses[request["status"]] = statuses.get(request["status"], 0) + 1
    print(f"seed {options.seed}: {len(requests)} requests, {len(soak.faults.log)} faults, "
          f"requests by status {statuses}, {len(violations)} violations")
    if violations or options.keep:
        pathlib.Path(folder, "requests.json").write_text(json.dumps(requests))
        pathlib.Path(folder, "faults.json").write_text(json.dumps(soak.faults.log))
        pathlib.Path(folder, "stops.json").write_text(json.dumps(soak.deployment.stops))
        print(f"logs: {folder}")
    else:
        shutil.rmtree(folder)
    for text in violations[:20]:
        print(f"violation: {text}")
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main())

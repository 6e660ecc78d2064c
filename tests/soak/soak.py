"""Runs real processes under random faults and checks what the project guarantees to its callers.

usage: soak.py [--seed N] [--seconds S] [--instances N] [--callers N] [--stops N] [--keep]

Faults are injected for S seconds. Then all requests must be served again, and nodes are stopped in
turn while callers go on (the calm phase). Exits with 1 on a violation, and then prints each one and
the folder with the logs, the requests and the faults.
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
from deployment import HOST, TIMEOUT_MS, Deployment, now  # noqa: E402

RECOVERY_TIMEOUT_S = 15  # until every node serves again after the faults
LAST_CALM_S = 4  # of the calm phase, after the last planned stop
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
        self.requests = []

    def run(self):
        while not self.soak.is_over:
            instance = self.soak.deployment.instances[
                (self.number + self.count // 20) % len(self.soak.deployment.instances)]
            self.send_request(instance, self.random.choice(["/status/x", "/affirm/x", "probe"]))
            time.sleep(self.random.uniform(0.0, 0.02))

    def send_request(self, instance, path):
        self.count += 1
        request = {"id": f"c{self.number}-{self.count}", "body": "", "method": "GET", "probe": None,
                   "start": instance.node.pid, "status": None, "answer": None, "signature": None,
                   "error": "", "isCalm": self.soak.is_calm}
        if path == "probe":
            request["probe"] = max(1, self.soak.deployment.version - self.random.choice([0, 0, 1]))
            path = f"/probe-{request['probe']}/x"
            request["isCalm"] = False  # The probed route may have been removed.
        request["idempotent"] = not path.startswith("/affirm")
        if not request["idempotent"]:
            request.update(method="POST", body=f"amount={self.count}")
        request.update(path=path, sent=now())
        self.requests.append(request)
        try:
            self.exchange(instance, request)
        except (OSError, http.client.HTTPException) as error:
            request["error"] = repr(error)
            self.connection = None
        request["ended"] = now()
        if instance.node.pid != request["start"]:
            request["start"] = None  # Restarted meanwhile: it is unknown which start answered.
        return request

    def exchange(self, instance, request):
        if self.connection is None or self.connection[0] is not instance:
            host, port = instance.callers.split(":")
            timeout = TIMEOUT_MS / 1000 + ANSWER_SLACK_S
            self.connection = (instance,
                               http.client.HTTPConnection(host, int(port), timeout=timeout))
        connection = self.connection[1]
        headers = {"Host": HOST, "X-Request-Id": request["id"], "X-Deadline-Ms": str(TIMEOUT_MS)}
        connection.request(request["method"], request["path"], request["body"] or None, headers)
        response = connection.getresponse()
        answer = response.read().decode()
        request.update(status=response.status, answer=answer,
                       signature=response.headers.get("X-Server-Signature"))


class Soak:
    def __init__(self, options, folder):
        self.seed = options.seed
        self.options = options
        self.random = random.Random(options.seed)
        first_port = 10000 + options.seed % 20 * 1000
        self.deployment = Deployment(options.instances, first_port, folder)
        self.faults = faults.Faults(self.deployment, self.random)
        self.callers = [Caller(i, self) for i in range(options.callers)]
        self.is_over = False
        self.is_calm = False

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
            self.stop_nodes_in_turn()
            self.is_over = True
            for caller in self.callers:
                caller.join()
            requests = [request for caller in [*self.callers, prober]
                        for request in caller.requests]
            self.record_unexpected_exits()
            return violations + checks.Checks(self.deployment, requests).violations()
        finally:
            self.is_over = True
            self.deployment.close()

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
        self.is_calm = True
        for instance in self.deployment.instances[: self.options.stops]:
            instance.node.send_signal(signal.SIGTERM)
            faults.wait_for_exit(instance.node, 7.0)
            instance.start_node()
            fleet.wait_until(instance.is_ready, RECOVERY_TIMEOUT_S, f"readiness of {instance.name}")
        time.sleep(LAST_CALM_S)

    def record_unexpected_exits(self):
        for instance in self.deployment.instances:
            for role, process in (("node", instance.node), ("upstream", instance.upstream)):
                if process.poll() is not None:
                    self.deployment.unexpected_exits.append(
                        f"{role} of {instance.name} ended with status {process.returncode}")


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=15, help="how long faults are injected")
    parser.add_argument("--instances", type=int, default=6)
    parser.add_argument("--callers", type=int, default=12)
    parser.add_argument("--stops", type=int, default=2,
                        help="nodes that are stopped in turn in the calm phase")
    parser.add_argument("--keep", action="store_true",
                        help="keep the logs of a run without violations too")
    options = parser.parse_args()
    folder = tempfile.mkdtemp(prefix=f"soak-{options.seed}-")
    soak = Soak(options, folder)
    violations = soak.run()
    requests = [request for caller in soak.callers for request in caller.requests]
    statuses = {}
    for request in requests:
        statuses[request["status"]] = statuses.get(request["status"], 0) + 1
    print(f"seed {options.seed}: {len(requests)} requests, {len(soak.faults.log)} faults, "
          f"requests by status {statuses}, {len(violations)} violations")
    if violations or options.keep:
        pathlib.Path(folder, "requests.json").write_text(json.dumps(requests))
        pathlib.Path(folder, "faults.json").write_text(json.dumps(soak.faults.log))
        print(f"logs: {folder}")
    else:
        shutil.rmtree(folder)
    for text in violations[:20]:
        print(f"violation: {text}")
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main())

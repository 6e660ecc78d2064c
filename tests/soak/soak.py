"""A randomized fault soak: real processes, faults from outside, promises checked as callers see them.

usage: soak.py [--seed N] [--seconds S] [--instances N] [--callers N] [--keep]

Ends with 1 if a promise was broken, and then prints the seed, the faults and where the logs are.
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

RECOVER_S = 15  # until all is served again after the faults
CALM_S = 4
FAULTS_AT_ONCE = 3
ANSWER_SLACK_S = 1.0  # a caller waits this much longer than its deadline


class Caller(threading.Thread):
    """Asks one request after the other, on a connection that it keeps until it breaks."""

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
            self.ask(instance, self.random.choice(["/status/x", "/affirm/x", "probe"]))
            time.sleep(self.random.uniform(0.0, 0.02))

    def ask(self, instance, path):
        self.count += 1
        request = {"id": f"c{self.number}-{self.count}", "body": "", "method": "GET", "probe": None,
                   "start": instance.node.pid, "status": None, "answer": None, "signature": None,
                   "error": "", "isCalm": self.soak.is_calm}
        if path == "probe":
            request["probe"] = max(1, self.soak.deployment.version - self.random.choice([0, 0, 1]))
            path = f"/probe-{request['probe']}/x"
            request["isCalm"] = False  # Routes come and go beside it.
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
            request["start"] = None  # It can't be told which start answered.
        return request

    def exchange(self, instance, request):
        if self.connection is None or self.connection[0] is not instance:
            host, port = instance.callers.split(":")
            timeout = TIMEOUT_MS / 1000 + ANSWER_SLACK_S
            self.connection = (instance, http.client.HTTPConnection(host, int(port), timeout=timeout))
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
        """Plays the soak. Returns the broken promises."""
        prober = Caller(len(self.callers), self)
        try:
            self.deployment.wait_ready(RECOVER_S)
            fleet.wait_until(lambda: self.serves_everywhere(prober), RECOVER_S, "service at the start")
            for caller in self.callers:
                caller.start()
            self.inject_faults(self.options.seconds)
            broken = self.recover(prober)
            self.planned_stops()
            self.is_over = True
            for caller in self.callers:
                caller.join()
            requests = [request for caller in [*self.callers, prober] for request in caller.requests]
            self.note_ends()
            return broken + checks.Checks(self.deployment, requests).broken()
        finally:
            self.is_over = True
            self.deployment.close()

    def serves_everywhere(self, prober):
        return all(prober.ask(instance, path)["status"] == 200
                   for instance in self.deployment.instances for path in ("/status/x", "/affirm/x"))

    def inject_faults(self, seconds):
        """Several series of faults at once, so that they overlap."""
        end = now() + seconds

        def series():
            while now() < end:
                self.faults.draw()
                time.sleep(self.random.uniform(0.0, 0.6))

        threads = [threading.Thread(target=series) for _ in range(FAULTS_AT_ONCE)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def recover(self, prober):
        """All faults have ended; within the bound every node serves by the newest configuration."""
        self.deployment.configure()
        ask = lambda instance, path: prober.ask(instance, path)["status"]  # noqa: E731
        try:
            fleet.wait_until(lambda: checks.newest_is_in_force(self.deployment, ask)
                             and self.serves_everywhere(prober), RECOVER_S, "recovery")
        except TimeoutError as error:
            return [f"recovery: {error}"]
        return []

    def planned_stops(self):
        """Planned work only: each node is stopped in turn while callers go on."""
        self.is_calm = True
        for instance in self.deployment.instances[: self.options.stops]:
            instance.node.send_signal(signal.SIGTERM)
            faults.wait_for_end(instance.node, 7.0)
            instance.start_node()
            fleet.wait_until(instance.is_ready, RECOVER_S, f"readiness of {instance.name}")
        time.sleep(CALM_S)

    def note_ends(self):
        for instance in self.deployment.instances:
            for what, process in (("node", instance.node), ("upstream", instance.upstream)):
                if process.poll() is not None:
                    self.deployment.unexpected.append(f"{what} of {instance.name} ended with {process.returncode}")


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=15, help="for which faults are drawn")
    parser.add_argument("--instances", type=int, default=6)
    parser.add_argument("--callers", type=int, default=12)
    parser.add_argument("--stops", type=int, default=2, help="nodes stopped on the calm day")
    parser.add_argument("--keep", action="store_true", help="keep the logs of a good run too")
    options = parser.parse_args()
    folder = tempfile.mkdtemp(prefix=f"soak-{options.seed}-")
    soak = Soak(options, folder)
    broken = soak.run()
    requests = [request for caller in soak.callers for request in caller.requests]
    statuses = {}
    for request in requests:
        statuses[request["status"]] = statuses.get(request["status"], 0) + 1
    print(f"seed {options.seed}: {len(requests)} requests, {len(soak.faults.log)} faults, "
          f"statuses {statuses}, broken {len(broken)}")
    if broken or options.keep:
        pathlib.Path(folder, "requests.json").write_text(json.dumps(requests))
        pathlib.Path(folder, "faults.json").write_text(json.dumps(soak.faults.log))
        print(f"logs: {folder}")
    else:
        shutil.rmtree(folder)
    for text in broken[:20]:
        print(f"broken: {text}")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())

"""Runs an upstream stand-in as a process, with a ledger in a file that outlives it.

usage: upstream.py PORT REPORTED-ADDRESS IDENTITY SERVICE ADMIN-ADDRESS CALLERS-ADDRESS LEDGER-FILE

The ledger holds a JSON line for each execution, written before the work starts, one for each that
the deadline ends, with how late that was, one for the start and one for the end of each call that
an execution makes at the node's CALLERS-ADDRESS, and one for the time at which the node
acknowledged that the upstream drains. On SIGUSR1 the upstream reports
"draining", goes on serving for DRAIN_S, deregisters and exits.
"""

import http.client
import json
import pathlib
import random
import re
import signal
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "integration"))

from platform_standins import Upstream  # noqa: E402

HEARTBEAT_INTERVAL_S = 0.3
HOST = "swap.example"
WORK_RANGE_S = (0.002, 0.06)
# Longer than DrainMs of the settings, after which a node sends a draining upstream no more work.
DRAIN_S = 3.0


class Ledger:
    """Replaces the stand-in's list of executions; append() writes to the file."""

    def __init__(self, path, identity):
        self.file = open(path, "a", encoding="utf-8")
        self.identity = identity
        self.lock = threading.Lock()

    def write(self, **entry):
        with self.lock:
            line = json.dumps(dict(entry, time=time.monotonic(), identity=self.identity))
            self.file.write(line + "\n")
            self.file.flush()

    def append(self, execution):
        request_id, method, path, body, _ = execution
        self.write(run=request_id, method=method, path=path, body=body.decode())


class SoakUpstream(Upstream):
    """Works for the time that a request's path names (work-MILLISECONDS), if it names one. A request
    for /chain/... calls /leaf/..., which works for that time."""

    callers = None  # address at which the node takes calls

    def work_s_of(self, path):
        named = re.search(r"/work-(\d+)$", path)
        return int(named[1]) / 1000 if named and not path.startswith("/chain/") else self.work_s

    def make_calls(self, request_id, path, time_left_s):
        if not path.startswith("/chain/"):
            return True
        call = f"{request_id}.{random.getrandbits(32):08x}"
        path = path.replace("/chain/", "/leaf/")
        self.executions.write(call=call, path=path, limit_s=time_left_s)
        status = signature = None
        error = ""
        connection = http.client.HTTPConnection(self.callers, timeout=time_left_s + 1.0)
        try:
            connection.request("GET", path, headers={
                "Host": HOST, "X-Request-Id": call, "X-Deadline-Ms": str(int(time_left_s * 1000))})
            response = connection.getresponse()
            status, signature = response.status, response.headers.get("X-Server-Signature")
            error = "" if status == 200 else response.read().decode()
        except (OSError, http.client.HTTPException) as failure:
            error = repr(failure)
        finally:
            connection.close()
        self.executions.write(called=call, status=status, signature=signature, error=error)
        return status == 200

    def record_end(self, request_id, past_deadline_s):
        if past_deadline_s > 0:
            self.executions.write(late=request_id, s=past_deadline_s)


def main():
    port, reported, identity, service, admin, callers, ledger_path = sys.argv[1:]
    upstream = SoakUpstream(int(port), identity, service, admin)
    upstream.address = reported
    upstream.callers = callers
    ledger = upstream.executions = Ledger(ledger_path, identity)
    draining = threading.Event()
    signal.signal(signal.SIGUSR1, lambda *_: draining.set())
    acknowledged_at = None
    while acknowledged_at is None or time.monotonic() - acknowledged_at < DRAIN_S:
        upstream.work_s = random.uniform(*WORK_RANGE_S)
        upstream.state = "draining" if draining.is_set() else "ready"
        try:
            status = upstream.send_heartbeat()
        except OSError:
            status = 0  # The node is down or unreachable at this moment.
        if upstream.state == "draining" and status == 200 and acknowledged_at is None:
            acknowledged_at = time.monotonic()
            ledger.write(acknowledged=True)
        time.sleep(HEARTBEAT_INTERVAL_S)
    try:
        upstream.call("instances.deregister", {"born": upstream.born})
    except OSError:
        pass  # The node can't be reached; the process ends without deregistering.


if __name__ == "__main__":
    main()

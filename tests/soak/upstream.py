"""An upstream stand-in as a process of its own, with a ledger that outlives its kill.

usage: upstream.py PORT REPORTED-ADDRESS IDENTITY SERVICE ADMIN-ADDRESS LEDGER-FILE

The ledger holds a JSON line for each run, written before the work starts, and one for the
acknowledgement of its leaving. SIGUSR1 has it leave: it drains, reports its end and exits.
"""

import json
import pathlib
import random
import signal
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "integration"))

from platform_standins import Upstream  # noqa: E402

BEAT_S = 0.3
WORK_S = (0.002, 0.06)
# The platform's bound on a leaving upstream (DrainMs) and a little longer.
DRAIN_S = 3.0


class Ledger:
    """Takes the place of the stand-in's list of runs."""

    def __init__(self, path, identity):
        self.file = open(path, "a", encoding="utf-8")
        self.identity = identity
        self.lock = threading.Lock()

    def write(self, **entry):
        with self.lock:
            line = json.dumps(dict(entry, time=time.monotonic(), identity=self.identity))
            self.file.write(line + "\n")
            self.file.flush()

    def append(self, run):
        request, method, path, body, _ = run
        self.write(run=request, method=method, path=path, body=body.decode())


def main():
    port, reported, identity, service, admin, ledger_path = sys.argv[1:]
    upstream = Upstream(int(port), identity, service, admin)
    upstream.address = reported
    ledger = upstream.ran = Ledger(ledger_path, identity)
    leaving = threading.Event()
    signal.signal(signal.SIGUSR1, lambda *_: leaving.set())
    acknowledged = None
    while acknowledged is None or time.monotonic() - acknowledged < DRAIN_S:
        upstream.work_s = random.uniform(*WORK_S)
        upstream.state = "draining" if leaving.is_set() else "ready"
        try:
            status = upstream.beat()
        except OSError:
            status = 0  # The node is down or cut off for the moment.
        if upstream.state == "draining" and status == 200 and acknowledged is None:
            acknowledged = time.monotonic()
            ledger.write(acknowledged=True)
        time.sleep(BEAT_S)
    try:
        upstream.call("instances.deregister", {"born": upstream.born})
    except OSError:
        pass  # An upstream that can't report its end goes all the same.


if __name__ == "__main__":
    main()

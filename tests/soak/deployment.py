"""The processes of a soak: nodes, upstreams, the fault proxy between them, and the store."""

import json
import os
import pathlib
import signal
import subprocess
import sys
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "integration"))
sys.path.insert(0, str(HERE.parent.parent / "scripts"))

import fleet  # noqa: E402
from platform_standins import Store, configuration, settings_text  # noqa: E402

SERVICES = ("tracker", "affirmer")
ZONES = ("a", "b", "c")
HOST = "swap.example"
TIMEOUT_MS = 2000


def port_of(address):
    return int(address.rsplit(":", 1)[1])


class Instance:
    """A node and its upstream, each a process, with proxied links to the rest."""

    def __init__(self, number, deployment):
        self.deployment = deployment
        self.service = SERVICES[number % len(SERVICES)]
        self.zone = ZONES[number // len(SERVICES) % len(ZONES)]
        self.name = f"{self.service}-{number}"
        take = deployment.ports.take
        self.callers, self.admin, self.readiness, self.upstream_address = take(), take(), take(), take()
        self.peers, self.metrics = self.take_pair()
        self.dialled, self.store, self.upstream_dialled = take(), take(), take()
        self.links = {
            f"peer-{number}": (self.dialled, self.peers),
            f"store-{number}": (self.store, deployment.store_address),
            f"upstream-{number}": (self.upstream_dialled, self.upstream_address),
        }
        self.ledger = deployment.folder / f"{self.name}.ledger"
        self.node = self.upstream = None
        self.starts = 0
        self.lock = threading.Lock()  # one signal at a time; links are degraded beside it
        self.disturbed = []  # (begin, end) of what was done to the node

    def take_pair(self):
        """Two ports in a row, as the settings name a range."""
        while True:
            first, second = self.deployment.ports.take(), self.deployment.ports.take()
            if port_of(second) == port_of(first) + 1:
                return first, second

    def write_settings(self):
        path = self.deployment.folder / f"{self.name}.toml"
        ports = (port_of(self.peers), port_of(self.metrics))
        doors = (self.callers, self.readiness, self.admin)
        path.write_text(settings_text(self.name, self.zone, self.service, ports, doors, self.store))
        return path

    def start_node(self):
        environment = dict(os.environ, BUCKTHORNFORD_NODE_FILE=str(self.write_settings()),
                           BUCKTHORNFORD_ADVERTISE=self.dialled)
        self.node = self.deployment.run(self.name, [str(fleet.BIN / "buckthornford-platform-node")], environment)

    def start_upstream(self, same_identity=False):
        if not same_identity or self.starts == 0:
            self.starts += 1
        command = [sys.executable, str(HERE / "upstream.py"), str(port_of(self.upstream_address)),
                   self.upstream_dialled, f"i-{self.name}-{self.starts}", self.service, self.admin,
                   str(self.ledger)]
        self.upstream = self.deployment.run(f"{self.name}-upstream", command)

    def is_ready(self):
        return fleet.http("GET", self.readiness, "/readyz", timeout=1)[0] == 200


class Deployment:
    def __init__(self, instances, first_port, folder):
        self.folder = pathlib.Path(folder)
        self.ports = fleet.Ports(first_port)
        self.store_address = self.ports.take()
        self.store = Store(port_of(self.store_address))
        self.processes = []
        self.unexpected = []  # ends of processes that the soak did not bring about
        self.lock = threading.Lock()
        self.version = 0
        self.configure()
        self.instances = [Instance(i, self) for i in range(instances)]
        links = ",".join(f"{name}={listen}/{target}" for instance in self.instances
                         for name, (listen, target) in instance.links.items())
        self.control = self.ports.take()
        self.run("fault", [str(fleet.BIN / "buckthornford-fault"), f"--links={links}",
                           f"--control={self.control}"])
        for instance in self.instances:
            instance.start_node()
            instance.start_upstream()

    def run(self, label, command, environment=None):
        with open(self.folder / f"{label}.log", "ab") as log:
            process = subprocess.Popen(command, env=environment, stdout=log, stderr=log)
        with self.lock:
            self.processes.append(process)
        return process

    def configure(self):
        """Writes the next version: the probe route of the last one goes, a new one comes."""
        self.version += 1
        routes = [(HOST, "/status/", "safe", "tracker", TIMEOUT_MS),
                  (HOST, "/affirm/", "unsafe", "affirmer", TIMEOUT_MS),
                  (HOST, f"/probe-{self.version}/", "safe", "tracker", TIMEOUT_MS)]
        self.store.put_configuration(configuration(self.version, routes, SERVICES))

    def set_link(self, name, **fault):
        fleet.http("POST", self.control, f"/links/{name}", json.dumps(fault).encode())

    def wait_ready(self, seconds):
        for instance in self.instances:
            fleet.wait_until(instance.is_ready, seconds, f"readiness of {instance.name}")

    def close(self):
        """Ends what this soak started and is still there."""
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        self.store.server.shutdown()
        self.store.server.server_close()


def now():
    """The steady clock, which all processes of a machine share."""
    return time.monotonic()

"""The processes of a soak: nodes, upstreams, the fault proxy between them, and the store."""

import json
import os
import pathlib
import signal
import socket
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
LONG_TIMEOUT_MS = 5000  # of a route for work that lasts most of a stop; no longer than that
GRACE_S = 6.0  # as GraceS of the settings
FIRST_PORT, PORT_RANGES, PORTS_PER_RANGE = 10000, 20, 1000
HANDLER_TIMEOUT_S = 10.0  # until a process that was started handles its signals


def port_of(address):
    return int(address.rsplit(":", 1)[1])


class Instance:
    """A node and its upstream, each a process, with links through the fault proxy."""

    def __init__(self, number, deployment):
        self.deployment = deployment
        self.service = SERVICES[number % len(SERVICES)]
        self.zone = ZONES[number // len(SERVICES) % len(ZONES)]
        self.name = f"{self.service}-{number}"
        take = deployment.ports.take
        self.callers, self.admin, self.readiness, self.upstream_address = \
            take(), take(), take(), take()
        self.peers, self.metrics = self.take_port_pair()
        self.proxied_peers, self.proxied_store, self.proxied_upstream = take(), take(), take()
        self.links = {  # name: (address of the proxy, address behind it)
            f"peer-{number}": (self.proxied_peers, self.peers),
            f"store-{number}": (self.proxied_store, deployment.store_address),
            f"upstream-{number}": (self.proxied_upstream, self.upstream_address),
        }
        self.ledger = deployment.folder / f"{self.name}.ledger"
        self.node = self.upstream = None
        self.identity_count = 0
        self.lock = threading.Lock()  # one process fault at a time; link faults run beside it
        self.disturbed_intervals = []  # (start, end) of the faults that this instance had

    def take_port_pair(self):
        """Two consecutive ports: a node's settings name a range of them."""
        while True:
            first, second = self.deployment.ports.take(), self.deployment.ports.take()
            if port_of(second) == port_of(first) + 1:
                return first, second

    def write_settings(self):
        path = self.deployment.folder / f"{self.name}.toml"
        ports = (port_of(self.peers), port_of(self.metrics))
        listeners = (self.callers, self.readiness, self.admin)
        path.write_text(settings_text(self.name, self.zone, self.service, ports, listeners,
                                      self.proxied_store))
        return path

    def start_node(self):
        environment = dict(os.environ, BUCKTHORNFORD_NODE_FILE=str(self.write_settings()),
                           BUCKTHORNFORD_ADVERTISE=self.proxied_peers)
        self.node = self.deployment.start_process(self.name,
                                                  [str(fleet.BIN / "buckthornford-platform-node")],
                                                  environment)

    def start_upstream(self, same_identity=False):
        if not same_identity or self.identity_count == 0:
            self.identity_count += 1
        command = [sys.executable, str(HERE / "upstream.py"), str(port_of(self.upstream_address)),
                   self.proxied_upstream, f"i-{self.name}-{self.identity_count}", self.service,
                   self.admin, self.callers, str(self.ledger)]
        self.upstream = self.deployment.start_process(f"{self.name}-upstream", command)

    def end(self, role, number, seconds):
        """Sends the signal `number` to the process of `role` ("node" or "upstream") and waits
        until it has ended. A process that had ended before, that is still there after `seconds` or
        that doesn't end as the signal asks is reported."""
        process = getattr(self, role)
        handler_deadline = now() + HANDLER_TIMEOUT_S
        while number != signal.SIGKILL and process.poll() is None \
                and not handles(process, number) and now() < handler_deadline:
            time.sleep(0.02)
        if self.report_if_ended(role):
            return
        stop = {"pid": process.pid, "instance": self.name, "role": role, "time": now(),
                "signal": number}
        self.deployment.stops.append(stop)
        process.send_signal(number)
        try:
            status = process.wait(seconds)
        except subprocess.TimeoutExpired:
            process.kill()
            status = process.wait()
            self.deployment.report_exit(f"{role} of {self.name} ({process.pid}) was still there "
                                        f"{seconds} s after signal {number}")
        else:
            if status != (-number if number == signal.SIGKILL else 0):
                self.deployment.report_exit(f"{role} of {self.name} ({process.pid}) ended with "
                                            f"status {status} after signal {number}")
        stop["ended"] = now()

    def report_if_ended(self, role):
        """Reports the process of `role` if it has ended by itself. Returns whether it has."""
        process = getattr(self, role)
        if process.poll() is not None:
            self.deployment.report_exit(f"{role} of {self.name} ({process.pid}) ended by itself "
                                        f"with status {process.returncode}")
        return process.poll() is not None

    def is_ready(self):
        return fleet.http("GET", self.readiness, "/readyz", timeout=1)[0] == 200


def handles(process, number):
    """Whether the program has installed its handler of the signal; before that it would end by
    the signal."""
    try:
        with open(f"/proc/{process.pid}/status", encoding="ascii") as status:
            masks = dict(line.split(":") for line in status
                         if line.startswith(("SigIgn", "SigCgt")))
    except FileNotFoundError:
        return False  # It has ended.
    return any(int(mask, 16) >> (number - 1) & 1 for mask in masks.values())


def claim_ports(seed):
    """Claims a range of ports that no other soak uses at present. Returns (a socket that holds the
    claim until it is closed, the first port to use)."""
    for i in range(PORT_RANGES):
        claim = socket.socket()
        first = FIRST_PORT + (seed + i) % PORT_RANGES * PORTS_PER_RANGE
        try:
            claim.bind(("127.0.0.1", first))
            claim.listen()
            return claim, first + 1
        except OSError:
            claim.close()
    raise RuntimeError("other soaks use all port ranges")


# All processes of a soak, and the store, which runs in this process.
class Deployment:
    def __init__(self, instances, seed, folder):
        self.folder = pathlib.Path(folder)
        self.port_claim, first_port = claim_ports(seed)
        self.ports = fleet.Ports(first_port)
        self.store_address = self.ports.take()
        self.store = Store(port_of(self.store_address))
        self.processes = []
        self.unexpected_exits = []  # texts on processes that didn't end as the soak asked
        self.stops = []  # what Instance.end() ended: pid, signal, time and end
        self.lock = threading.Lock()
        self.version = 0
        self.faults_ended = None  # time since which nothing but planned stops disturbs a node
        self.publish_configuration()
        self.instances = [Instance(i, self) for i in range(instances)]
        links = ",".join(f"{name}={listen}/{target}" for instance in self.instances
                         for name, (listen, target) in instance.links.items())
        self.control = self.ports.take()
        self.start_process("fault", [str(fleet.BIN / "buckthornford-fault"), f"--links={links}",
                                     f"--control={self.control}"])
        for instance in self.instances:
            instance.start_node()
            instance.start_upstream()

    def start_process(self, label, command, environment=None):
        with open(self.folder / f"{label}.log", "ab") as log:
            process = subprocess.Popen(command, env=environment, stdout=log, stderr=log)
        with self.lock:
            self.processes.append(process)
        return process

    def report_exit(self, text):
        self.unexpected_exits.append(f"{now():.3f} {text}")

    def publish_configuration(self):
        """Puts the next configuration version into the store: its own probe route replaces that of
        the version before."""
        self.version += 1
        routes = [(HOST, "/status/", "safe", "tracker", TIMEOUT_MS),
                  (HOST, "/affirm/", "unsafe", "affirmer", TIMEOUT_MS),
                  (HOST, "/long/", "unsafe", "affirmer", LONG_TIMEOUT_MS),
                  (HOST, "/chain/", "safe", "tracker", LONG_TIMEOUT_MS),
                  (HOST, "/leaf/", "safe", "affirmer", LONG_TIMEOUT_MS),
                  (HOST, f"/probe-{self.version}/", "safe", "tracker", TIMEOUT_MS)]
        self.store.put_configuration(configuration(self.version, routes, SERVICES))

    def set_link(self, name, **fault):
        fleet.http("POST", self.control, f"/links/{name}", json.dumps(fault).encode())

    def wait_ready(self, seconds):
        for instance in self.instances:
            fleet.wait_until(instance.is_ready, seconds, f"readiness of {instance.name}")

    def close(self):
        """Kills the processes of this soak that still run, and stops the store."""
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        self.store.server.shutdown()
        self.store.server.server_close()
        self.port_claim.close()


def now():
    """Seconds of the monotonic clock, which all processes of a machine share."""
    return time.monotonic()

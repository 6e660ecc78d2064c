"""Starts real buckthornford-platform-node processes for the integration tests."""

import contextlib
import itertools
import os
import pathlib
import subprocess
import sys
import tempfile
import threading
import time
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "scripts"))

import fleet  # noqa: E402  (needs the path set above)
from platform_standins import Store, Upstream, configuration, settings_text  # noqa: E402

SAFE = ("swap.example", "/status/", "safe", "tracker", 2000)
UNSAFE = ("swap.example", "/affirm/", "unsafe", "affirmer", 2000)
SERVICES = ("tracker", "affirmer")
IN_FORCE_S = 5  # from the operator's write until all nodes serve by a configuration
AWAY_S = 0.5  # of a store that comes back from a copy


class Ports(fleet.Ports):
    """Hands out port numbers instead of addresses."""

    def take(self):
        return int(super().take().rsplit(":", 1)[1])


class Node:
    """One node process with its settings file."""

    def __init__(self, name, zone, service, ports, store, seeds, folder):
        self.name = name
        self.outbound, self.admin, self.readiness, self.upstream_port = (
            ports.take() for _ in range(4))
        # A seed is an address without a port, so it doesn't tell the peer ports of nodes that share
        # an address: each node has its own port range, and they find each other through the store.
        self.peers = ports.take()
        ports.take()
        self.file = pathlib.Path(folder) / f"{name}.toml"
        listeners = [f"127.0.0.1:{port}" for port in (self.outbound, self.readiness, self.admin)]
        port_range = (self.peers, self.peers + 1)
        self.file.write_text(settings_text(name, zone, service, port_range, listeners, store,
                                           seeds))
        self.log = open(pathlib.Path(folder) / f"{name}.log", "ab")
        self.upstream = Upstream(self.upstream_port, f"i-{name}", service,
                                 f"127.0.0.1:{self.admin}")
        self.process = None

    def start(self):
        program = str(fleet.BIN / "buckthornford-platform-node")
        environment = dict(os.environ, BUCKTHORNFORD_NODE_FILE=str(self.file))
        self.process = subprocess.Popen([program], env=environment, stdout=self.log,
                                        stderr=self.log)

    def kill(self):
        self.process.kill()
        self.process.wait()

    def is_ready(self):
        return fleet.http("GET", f"127.0.0.1:{self.readiness}", "/readyz", timeout=1)[0] == 200


class PlatformTestCase(unittest.TestCase):
    """Runs two nodes for each of two services, beside stand-ins of the store and upstreams."""

    first_port = None  # set by each subclass

    def setUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.ports = Ports(self.first_port)
        store_port = self.ports.take()
        self.store = Store(store_port)
        self.store.put_configuration(configuration(3, [SAFE, UNSAFE], SERVICES))
        self.copy_without_nodes = self.store.copy()
        self.store_address = f"127.0.0.1:{store_port}"
        self.nodes = []
        for service in SERVICES:
            for zone in ("a", "b"):
                self.start_node(service, zone)
        self.sends_heartbeats = True
        self.silent = None  # the node whose upstream sends no heartbeats
        self.heartbeat_thread = threading.Thread(target=self.send_heartbeats, daemon=True)
        self.heartbeat_thread.start()
        self.request_numbers = itertools.count(1)  # threads share it
        for node in self.nodes:
            fleet.wait_until(node.is_ready, 10, "readiness")
        fleet.wait_until(lambda: self.serves_everywhere(), 10, "every node to serve requests")

    def tearDown(self):
        self.sends_heartbeats = False
        self.heartbeat_thread.join()
        for node in self.nodes:
            if node.process.poll() is None:
                node.kill()
            node.log.close()
            node.upstream.stop()
        self.store.server.shutdown()
        self.store.server.server_close()
        self.folder.cleanup()

    def start_node(self, service, zone):
        """Starts a further node, which knows the others only through the store."""
        node = Node(f"{service}-{zone}", zone, service, self.ports, self.store_address, [],
                    self.folder.name)
        self.nodes.append(node)
        node.start()
        return node

    def send_heartbeats(self):
        while self.sends_heartbeats:
            for node in self.nodes:
                if node is self.silent:
                    continue
                try:
                    node.upstream.send_heartbeat()
                except OSError:
                    pass  # The node is down at this moment.
            time.sleep(0.2)

    def send_request(self, node, path, method="GET", body=None, timeout_ms=2000):
        """Sends one request. Returns (status, headers, body, request id)."""
        request = f"q{next(self.request_numbers)}"
        headers = {"Host": "swap.example", "X-Request-Id": request,
                   "X-Deadline-Ms": str(timeout_ms)}
        status, fields, answer = fleet.http(method, f"127.0.0.1:{node.outbound}", path, body,
                                            headers)
        return status, fields, answer, request

    def serves_everywhere(self):
        return all(
            self.send_request(node, path)[0] == 200 for node in self.nodes
            for path in ("/status/x", "/affirm/x")
        )

    def put_configuration(self, version, routes):
        self.store.put_configuration(configuration(version, routes, SERVICES))

    def wait_until_in_force(self, served, unknown):
        """Waits until every node serves one path and knows no route for the other one."""
        fleet.wait_until(
            lambda: all(self.send_request(node, served)[0] == 200
                        and self.send_request(node, unknown)[0] == 404 for node in self.nodes),
            IN_FORCE_S, f"every node to serve {served} and not {unknown}")

    @contextlib.contextmanager
    def restored_store(self, copy):
        """Within the block the store has come back from `copy`, but rejects all calls still."""
        self.store.set_fault("down")
        time.sleep(AWAY_S)
        self.store.restore(copy)
        yield
        self.store.set_fault(None)

    def executions_of(self, request):
        return [execution for node in self.nodes for execution in node.upstream.executions
                if execution[0] == request]

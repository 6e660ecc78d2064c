"""Starts and stops groups of the project's processes on this machine.

Used by the quickstart, the experiments and the integration tests. All addresses are on loopback.
"""

import json
import os
import pathlib
import signal
import socket
import subprocess
import tempfile
import time
import urllib.error
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parent.parent
BIN = pathlib.Path(os.environ.get("BUCKTHORNFORD_BIN", ROOT / "build" / "bin"))


def http(method, address, path, body=None, headers=None, timeout=5.0):
    """Sends an HTTP request. Returns (status, headers, body); raises OSError without a response."""
    data = body if body is None or isinstance(body, bytes) else json.dumps(body).encode()
    request = urllib.request.Request(
        f"http://{address}{path}", data=data, headers=headers or {}, method=method
    )
    try:
        with urllib.request.urlopen(request, timeout=timeout) as response:
            return response.status, response.headers, response.read()
    except urllib.error.HTTPError as error:
        return error.code, error.headers, error.read()


def wait_until(condition, seconds, what):
    """Waits until condition() is true; raises a TimeoutError that names `what` otherwise."""
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        try:
            if condition():
                return
        except (OSError, ValueError, KeyError):
            pass
        time.sleep(0.05)
    raise TimeoutError(f"timed out after {seconds} s waiting for {what}")


class Ports:
    """Hands out loopback ports that nothing listens on."""

    def __init__(self, first):
        self.next = first

    def take(self):
        while True:
            port = self.next
            self.next += 1
            with socket.socket() as probe:
                probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                try:
                    probe.bind(("127.0.0.1", port))
                    return f"127.0.0.1:{port}"
                except OSError:
                    continue


class Process:
    """A process of one of the project's programs, with its log file."""

    def __init__(self, log_dir, label, program, flags):
        self.label = label
        self.command = [str(BIN / f"buckthornford-{program}")] + [
            f"--{key}={value}" for key, value in flags.items()
        ]
        self.log_path = log_dir / f"{label}.log"
        with open(self.log_path, "ab") as log:
            self.popen = subprocess.Popen(self.command, stdout=log, stderr=log)

    @property
    def pid(self):
        return self.popen.pid

    def is_alive(self):
        return self.popen.poll() is None

    def send_signal(self, number):
        if self.is_alive():
            self.popen.send_signal(number)

    def kill(self):
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGKILL)
        self.popen.wait()

    def stop(self, seconds=30):
        """Sends SIGTERM. Returns the exit status, or None if it was killed after `seconds`."""
        self.send_signal(signal.SIGTERM)
        try:
            return self.popen.wait(seconds)
        except subprocess.TimeoutExpired:
            self.kill()
            return None


class Instance:
    """An upstream and its node, with their addresses by listener."""

    def __init__(self, name, service, zone, region):
        self.name = name
        self.service = service
        self.zone = zone
        self.region = region
        self.addresses = {}
        self.node = None
        self.upstream = None

    def __getitem__(self, listener):
        return self.addresses[listener]

    def status(self):
        return json.loads(http("GET", self["operators"], "/status", timeout=2)[2])


class Fleet:
    """A platform stand-in and instances of services, all of them processes on this machine."""

    def __init__(self, first_port=21000, policy="buckthornford", node_flags=None, platform=True):
        self.ports = Ports(first_port)
        self.log_dir = pathlib.Path(tempfile.mkdtemp(prefix="buckthornford-"))
        self.policy = policy
        self.node_flags = {"key_life_ms": 4000, "spread_ms": 500, "sampled": 0}
        self.node_flags.update(node_flags or {})
        self.instances = []
        self.other_programs = []
        self.platform_address = ""
        if platform:
            self.platform_address = self.ports.take()
            self.platform = self.start_program("platform", "platform", listen=self.platform_address)

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.kill()

    def start_program(self, label, program, **flags):
        process = Process(self.log_dir, label, program, flags)
        self.other_programs.append(process)
        return process

    def add(self, name, service, zone, region, upstream=None, peers=None, peers_listen=None,
            **node_flags):
        """Starts an instance. `upstream` holds flags of the upstream stand-in; `peers` is the
        address that other nodes connect to, `peers_listen` the listening one if it differs."""
        instance = Instance(name, service, zone, region)
        for listener in ("callers", "upstream", "operators", "peers", "service"):
            instance.addresses[listener] = self.ports.take()
        instance.addresses["dialled"] = peers or instance["peers"]
        instance.addresses["peers"] = peers_listen or instance["dialled"]
        instance.upstream_flags = {"slots": 16, "mean_ms": 5, "seed": len(self.instances) + 1}
        instance.upstream_flags.update(upstream or {})
        instance.extra_node_flags = node_flags
        self.instances.append(instance)
        self.start_node(instance)
        self.start_upstream(instance)
        return instance

    def seeds(self):
        return ",".join(instance["dialled"] for instance in self.instances[:3])

    def start_node(self, instance):
        flags = {
            "instance": instance.name,
            "zone": instance.zone,
            "region": instance.region,
            "seeds": self.seeds(),
            "platform": self.platform_address,
            "policy": self.policy,
            "peer_address": instance["dialled"],
        }
        flags.update({listener: instance[listener]
                      for listener in ("callers", "upstream", "operators", "peers")})
        flags.update(self.node_flags)
        flags.update(instance.extra_node_flags)
        instance.node = Process(self.log_dir, f"node-{instance.name}", "node", flags)

    def start_upstream(self, instance):
        flags = {
            "listen": instance["service"],
            "node": instance["upstream"],
            "service": instance.service,
            "instance": instance.name,
        }
        flags.update(instance.upstream_flags)
        instance.upstream = Process(self.log_dir, f"upstream-{instance.name}", "upstream", flags)

    def add_services(self, description, zones=None):
        """Starts the instances that a services.json describes, spread over its zones in turn."""
        zones = zones or description["zones"]
        for service in description["services"]:
            upstream = {
                "slots": service["slots"],
                "mean_ms": service["meanMs"],
                "next": service.get("next", ""),
            }
            upstream.update(service.get("flags", {}))
            for i in range(service["targets"]):
                zone = zones[i % len(zones)]
                self.add(f"{service['name']}-{i}", service["name"], zone, description["region"],
                         upstream=upstream)

    def wait_ready(self, seconds=20):
        """Waits until every node lists every instance as serving."""
        def all_see_all():
            for instance in self.instances:
                body = json.loads(http("GET", instance["operators"], "/members", timeout=2)[2])
                serving = [m for m in body["members"] if m["state"] == "serving"]
                if len(serving) != len(self.instances):
                    return False
            return True
        wait_until(all_see_all, seconds, "every node to list every instance as serving")

    def put_document(self, document, change="initial"):
        """Makes a configuration document active and waits until every node has it."""
        status, _, body = http("POST", self.instances[0]["operators"], "/configuration",
                               {"kind": "replace", "id": change, "document": document}, timeout=20)
        if status != 200:
            raise RuntimeError(f"the document was refused, status {status}: {body.decode()}")
        revision = json.loads(body)["revision"]
        self.wait_revision(revision)
        return revision

    def wait_revision(self, revision, seconds=10):
        wait_until(lambda: all(s.status()["revision"] >= revision for s in self.instances), seconds,
                   f"revision {revision} on every node")

    def instances_of(self, service):
        return [instance for instance in self.instances if instance.service == service]

    def run_load(self, mix, entries=None, phases="", seed=1, callers=400, run="run"):
        """Runs buckthornford-load to its end. Returns its report with "exit" and "stderr" added."""
        process = self.start_load(mix, entries, phases, seed, callers, run)
        return self.finish_load(process)

    def start_load(self, mix, entries=None, phases="", seed=1, callers=400, run="run"):
        mix_path = self.log_dir / f"mix-{run}.json"
        mix_path.write_text(json.dumps(mix))
        entry_instances = entries or self.instances
        command = [
            str(BIN / "buckthornford-load"), f"--mix={mix_path}", "--json",
            "--entries=" + ",".join(instance["callers"] for instance in entry_instances),
            "--ledgers=" + ",".join(instance["service"] for instance in self.instances),
            f"--seed={seed}", f"--callers={callers}", f"--run={run}",
        ]
        if phases:
            command.append(f"--phases={phases}")
        return subprocess.Popen(command, stdout=subprocess.PIPE, stderr=subprocess.PIPE)

    def finish_load(self, process):
        out, err = process.communicate()
        if not out:
            raise RuntimeError(f"buckthornford-load printed no report: {err.decode()}")
        report = json.loads(out)
        report["exit"] = process.returncode
        report["stderr"] = err.decode()
        return report

    def set_behaviour(self, instance, **behaviour):
        http("POST", instance["service"], "/behaviour", behaviour)

    def set_platform_faults(self, **faults):
        http("POST", self.platform_address, "/admin/faults", faults)

    def stop(self, seconds=30):
        """Stops all processes by SIGTERM, upstreams and nodes first. Returns the labels of those
        that did not exit with 0."""
        failed = []
        instance_processes = [instance.upstream for instance in self.instances] \
            + [instance.node for instance in self.instances]
        for process in instance_processes:
            process.send_signal(signal.SIGTERM)
        for process in instance_processes + self.other_programs:
            if process.stop(seconds) != 0:
                failed.append(process.label)
        return failed

    def kill(self):
        for instance in self.instances:
            for process in (instance.upstream, instance.node):
                if process and process.is_alive():
                    process.kill()
        for process in self.other_programs:
            if process.is_alive():
                process.kill()


def read_example(name):
    """Reads the folder examples/NAME. Returns (services, presets, mix)."""
    folder = ROOT / "examples" / name
    return tuple(
        json.loads((folder / f"{part}.json").read_text()) for part in ("services", "presets", "mix")
    )

"""Starts and stops fleets of the project's programs on this machine.

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
    """One HTTP exchange. Returns (status, headers, body); raises OSError if there is no answer."""
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
    """Waits until condition() holds; raises TimeoutError that names what was waited for."""
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        try:
            if condition():
                return
        except (OSError, ValueError, KeyError):
            pass
        time.sleep(0.05)
    raise TimeoutError(f"not within {seconds} s: {what}")


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
    """One program with its log file."""

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

    def alive(self):
        return self.popen.poll() is None

    def send(self, number):
        if self.alive():
            self.popen.send_signal(number)

    def kill(self):
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        self.popen.wait()

    def stop(self, seconds=30):
        """Asks for a clean stop. Returns the exit status, or None if it had to be killed."""
        self.send(signal.SIGTERM)
        try:
            return self.popen.wait(seconds)
        except subprocess.TimeoutExpired:
            self.kill()
            return None


class Slot:
    """One instance: an upstream and its node."""

    def __init__(self, name, service, zone, region):
        self.name = name
        self.service = service
        self.zone = zone
        self.region = region
        self.addresses = {}
        self.node = None
        self.upstream = None

    def __getitem__(self, door):
        return self.addresses[door]

    def status(self):
        return json.loads(http("GET", self["operators"], "/status", timeout=2)[2])


class Fleet:
    """A platform stand-in and the instances of some services."""

    def __init__(self, first_port=21000, policy="buckthornford", node_flags=None, platform=True):
        self.ports = Ports(first_port)
        self.log_dir = pathlib.Path(tempfile.mkdtemp(prefix="buckthornford-"))
        self.policy = policy
        self.node_flags = {"key_life_ms": 4000, "spread_ms": 500, "sampled": 0}
        self.node_flags.update(node_flags or {})
        self.slots = []
        self.others = []
        self.platform_address = ""
        if platform:
            self.platform_address = self.ports.take()
            self.platform = self.run("platform", "platform", listen=self.platform_address)

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.kill()

    def run(self, label, program, **flags):
        process = Process(self.log_dir, label, program, flags)
        self.others.append(process)
        return process

    def add(self, name, service, zone, region, upstream=None, peers=None, peers_listen=None,
            **node_flags):
        """Starts an instance. `upstream` holds flags of the stand-in; `peers` is the address that
        others dial; `peers_listen` the listening one, if it's another."""
        slot = Slot(name, service, zone, region)
        for door in ("callers", "upstream", "operators", "peers", "service"):
            slot.addresses[door] = self.ports.take()
        slot.addresses["dialled"] = peers or slot["peers"]
        slot.addresses["peers"] = peers_listen or slot["dialled"]
        slot.upstream_flags = {"slots": 16, "mean_ms": 5, "seed": len(self.slots) + 1}
        slot.upstream_flags.update(upstream or {})
        slot.extra_node_flags = node_flags
        self.slots.append(slot)
        self.start_node(slot)
        self.start_upstream(slot)
        return slot

    def seeds(self):
        return ",".join(slot["dialled"] for slot in self.slots[:3])

    def start_node(self, slot):
        flags = {
            "instance": slot.name,
            "zone": slot.zone,
            "region": slot.region,
            "seeds": self.seeds(),
            "platform": self.platform_address,
            "policy": self.policy,
            "peer_address": slot["dialled"],
        }
        flags.update({door: slot[door] for door in ("callers", "upstream", "operators", "peers")})
        flags.update(self.node_flags)
        flags.update(slot.extra_node_flags)
        slot.node = Process(self.log_dir, f"node-{slot.name}", "node", flags)

    def start_upstream(self, slot):
        flags = {
            "listen": slot["service"],
            "node": slot["upstream"],
            "service": slot.service,
            "instance": slot.name,
        }
        flags.update(slot.upstream_flags)
        slot.upstream = Process(self.log_dir, f"upstream-{slot.name}", "upstream", flags)

    def add_services(self, description, zones=None):
        """Starts the instances of a services.json, spread over its zones."""
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
        """Waits until every node sees every instance serving."""
        def all_seen():
            for slot in self.slots:
                body = json.loads(http("GET", slot["operators"], "/members", timeout=2)[2])
                serving = [m for m in body["members"] if m["state"] == "serving"]
                if len(serving) != len(self.slots):
                    return False
            return True
        wait_until(all_seen, seconds, "all instances seen by all nodes")

    def put_document(self, document, change="initial"):
        """Puts a configuration document in force and waits until every node has it."""
        status, _, body = http("POST", self.slots[0]["operators"], "/configuration",
                               {"kind": "replace", "id": change, "document": document}, timeout=20)
        if status != 200:
            raise RuntimeError(f"the document was refused: {body.decode()}")
        revision = json.loads(body)["revision"]
        self.wait_revision(revision)
        return revision

    def wait_revision(self, revision, seconds=10):
        wait_until(lambda: all(s.status()["revision"] >= revision for s in self.slots), seconds,
                   f"revision {revision} in force everywhere")

    def of(self, service):
        return [slot for slot in self.slots if slot.service == service]

    def load(self, mix, entries=None, phases="", seed=1, callers=400, run="run"):
        """Runs buckthornford-load. Returns its report as a dictionary, with "exit" added."""
        process = self.start_load(mix, entries, phases, seed, callers, run)
        return self.finish_load(process)

    def start_load(self, mix, entries=None, phases="", seed=1, callers=400, run="run"):
        mix_path = self.log_dir / f"mix-{run}.json"
        mix_path.write_text(json.dumps(mix))
        entry_slots = entries or self.slots
        command = [
            str(BIN / "buckthornford-load"), f"--mix={mix_path}", "--json",
            "--entries=" + ",".join(slot["callers"] for slot in entry_slots),
            "--ledgers=" + ",".join(slot["service"] for slot in self.slots),
            f"--seed={seed}", f"--callers={callers}", f"--run={run}",
        ]
        if phases:
            command.append(f"--phases={phases}")
        return subprocess.Popen(command, stdout=subprocess.PIPE, stderr=subprocess.PIPE)

    def finish_load(self, process):
        out, err = process.communicate()
        if not out:
            raise RuntimeError(f"load failed: {err.decode()}")
        report = json.loads(out)
        report["exit"] = process.returncode
        report["stderr"] = err.decode()
        return report

    def set_behaviour(self, slot, **behaviour):
        http("POST", slot["service"], "/behaviour", behaviour)

    def set_platform(self, **faults):
        http("POST", self.platform_address, "/admin/faults", faults)

    def stop(self, seconds=30):
        """Stops everything cleanly. Returns the labels of processes that did not exit with 0."""
        bad = []
        pairs = [slot.upstream for slot in self.slots] + [slot.node for slot in self.slots]
        for process in pairs:
            process.send(signal.SIGTERM)
        for process in pairs + self.others:
            if process.stop(seconds) != 0:
                bad.append(process.label)
        return bad

    def kill(self):
        for slot in self.slots:
            for process in (slot.upstream, slot.node):
                if process and process.alive():
                    process.kill()
        for process in self.others:
            if process.alive():
                process.kill()


def example(name):
    """Reads an example: (services, presets, mix)."""
    folder = ROOT / "examples" / name
    return tuple(
        json.loads((folder / f"{part}.json").read_text()) for part in ("services", "presets", "mix")
    )

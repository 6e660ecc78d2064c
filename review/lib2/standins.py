"""Stand-ins of the platform, the targets and the clients for the cases of review/REPORT-2.md.

They speak what PROTOCOL.md and DEPLOY.md of the users' pages say, on loopback addresses. Each
machine has a loopback address of its own, and all machines have the same ports, as in a deployment.
"""

import base64
import http.server
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import urllib.parse
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parents[2]
PROGRAM = ROOT / "target" / "bin" / "buckthornford-platform-node"  # as deploy/system.toml runs it
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2
HEARTBEAT_S = 0.5
START_LIMIT_S = 20
HOST = "case.example"


class CaseCannotRun(Exception):
    """The case couldn't be set up; it says nothing about the rule."""


class Record:
    """Writes what was sent, answered and run as JSON lines, with seconds since the start."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")
        self.start = time.monotonic()
        self.lock = threading.Lock()

    def now(self):
        return time.monotonic() - self.start

    def write(self, event, **fields):
        with self.lock:
            line = json.dumps({"s": round(self.now(), 3), "event": event, **fields})
            self.file.write(line + "\n")
            self.file.flush()


class Server(http.server.ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 256

    def handle_error(self, request, client_address):
        """Prints nothing: peers that are killed break their connections, which is expected."""


class Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, *_):
        pass

    def body(self):
        return self.rfile.read(int(self.headers.get("Content-Length", 0)))

    def reply(self, status, body=b"", headers=()):
        self.send_response(status)
        for name, value in headers:
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def reply_json(self, status, document):
        self.reply(status, json.dumps(document).encode(), [("Content-Type", "application/json")])


class Store:
    """The platform's metadata store: rows, transactions and the feed."""

    def __init__(self, ip, record):
        self.rows, self.history, self.version = {}, [], 1
        self.changed = threading.Condition()
        self.start = time.monotonic()
        self.is_silent = False  # calls get no answer, and their connections end
        store = self

        class StoreHandler(Handler):
            def is_lost(self):
                if not store.is_silent:
                    return False
                while store.is_silent:
                    time.sleep(0.02)
                self.close_connection = True
                return True

            def do_GET(self):
                if self.is_lost():
                    return
                url = urllib.parse.urlsplit(self.path)
                query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
                if url.path == "/rows-get":
                    self.reply_json(200, store.get(query))
                elif url.path == "/rows-feed":
                    answer = store.feed(query)
                    if not self.is_lost():
                        self.reply_json(200, answer)
                else:
                    self.reply(404)

            def do_POST(self):
                call = json.loads(self.body())
                if not self.is_lost():
                    self.reply_json(*store.transact(call))

        self.server = Server((ip, 0), StoreHandler)
        self.address = f"{ip}:{self.server.server_port}"
        threading.Thread(target=self.server.serve_forever, daemon=True).start()
        self.record = record

    def answer(self, rows):
        now_ms = int((time.monotonic() - self.start) * 1000)
        return {"Rows": rows, "HasMore": False, "Ver": self.version, "NowMs": now_ms}

    def get(self, query):
        with self.changed:
            rows = [row for (table, part, key), row in sorted(self.rows.items())
                    if table == query["Table"] and part == query.get("part", "")
                    and key >= query.get("From", "")
                    and ("Target" not in query or key < query["Target"])]
            return self.answer(rows[: int(query.get("Limit", 500))])

    def feed(self, query):
        end = time.monotonic() + int(query["WaitMs"]) / 1000
        with self.changed:
            while True:
                rows = [row for row in self.history if row["Ver"] > int(query["after"])
                        and row["Table"] == query["Table"]]
                left_s = end - time.monotonic()
                if rows or left_s <= 0:
                    return self.answer(rows)
                self.changed.wait(left_s)

    def transact(self, call):
        with self.changed:
            for row in call.get("ExpectedRev", []):
                found = self.rows.get((row["Table"], row["part"], row["Key"]))
                if (found["Ver"] if found else 0) != row["Ver"]:
                    return 412, self.answer([found] if found else [])
            self.version += 1
            for row in call.get("Puts", []):
                row = {**row, "Ver": self.version}
                self.rows[(row["Table"], row["part"], row["Key"])] = row
                self.history.append(row)
            for row in call.get("Remove", []):
                if self.rows.pop((row["Table"], row["part"], row["Key"]), None):
                    self.history.append({**row, "IsDeleted": True, "Ver": self.version})
            self.changed.notify_all()
            return 200, self.answer([])

    def put_configuration(self, document):
        """The operator writes a configuration. Returns when the store has acknowledged it."""
        value = base64.b64encode(json.dumps(document).encode()).decode()
        self.transact({"Puts": [{"Table": "op", "part": "", "Key": "config", "Value": value}]})
        self.record.write("operator-acknowledged", version=document["Version"])
        return time.monotonic()


def configuration(version, routes, services, limits):
    """Builds a configuration; each route is (prefix, kind, service, timeout in ms, aim in ms)."""
    resources = [{"ResourceKind": "Routes", "Metadata": {"Name": "route-" + prefix.strip("/")},
                  "Spec": {"Host": HOST, "Prefix": prefix, "Kind": kind, "Service": service,
                           "TimeoutMs": timeout_ms, "TargetLatencyMs": aim_ms, "Priority": 0,
                           "MaxAttempts": 2}}
                 for prefix, kind, service, timeout_ms, aim_ms in routes]
    resources += [{"ResourceKind": "Services", "Metadata": {"Name": name},
                   "Spec": {"HealthPath": "/healthz"}} for name in services]
    resources.append({"ResourceKind": "Limits", "Metadata": {"Name": "limits"}, "Spec": limits})
    return {"Version": version, "Resources": resources}


LIMITS = {"HeaderBytes": 16384, "MaxBodyBytes": 1048576, "HeaderTimeoutMs": 5000,
          "IdleTimeoutMs": 30000}


class Target:
    """An application target: it runs requests and sends its heartbeats to its own node."""

    def __init__(self, machine, record):
        self.machine, self.record = machine, record
        self.id = f"i-{machine.name}"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.runs = {}  # by request id: [begin, end or None, whether the answer was written]
        self.lock = threading.Lock()
        target = self

        class TargetHandler(Handler):
            def do_GET(self):
                if self.path == "/healthz":
                    self.reply(200, b"", [("X-Instance-Id", target.id)])
                    return
                target.run(self)

            def do_POST(self):
                target.run(self)

        self.server = Server((machine.ip, machine.ports["app"]), TargetHandler)
        threading.Thread(target=self.server.serve_forever, daemon=True).start()
        threading.Thread(target=self.beat, daemon=True).start()

    def answer_for(self, path):
        """Returns (work in seconds, body, further headers) for a request; may be replaced."""
        del path
        return 0.02, b"done", []

    def run(self, handler):
        body = handler.body()
        request = handler.headers.get("X-Request-Id", "")
        echo = [("X-Request-Id", request)]
        if handler.headers.get("X-Expected-Instance", self.id) != self.id:
            handler.reply(421, b"", echo)
            return
        limit_s = int(handler.headers["X-Deadline-Ms"]) / 1000
        work_s, answer, headers = self.answer_for(handler.path)
        with self.lock:
            self.runs.setdefault(request, []).append([time.monotonic(), None, False])
            run = self.runs[request][-1]
        self.record.write("run-begins", target=self.id, request=request, path=handler.path,
                          bytes=len(body), deadline_ms=handler.headers["X-Deadline-Ms"],
                          caller=handler.headers.get("X-Caller-Service"))
        time.sleep(min(work_s, limit_s))
        run[1] = time.monotonic()
        signed = echo + [("X-Server-Signature", f"{self.id}.{request}")]
        try:
            if work_s > limit_s:
                handler.reply(504, b"deadline", signed)
            else:
                handler.reply(200, answer, signed + headers)
            handler.wfile.flush()
            run[2] = True
            self.record.write("run-answered", target=self.id, request=request)
        except OSError as error:
            handler.close_connection = True
            self.record.write("run-answer-not-taken", target=self.id, request=request,
                              error=repr(error))

    def next_heartbeat(self):
        self.sequence += 1
        return {"born": self.born, "Address": self.machine.address("app"),
                "Info": {"Service": self.machine.service, "Version": "v1",
                         "Zone": self.machine.zone, "Slots": 180},
                "Status": {"State": self.state, "Sequence": self.sequence, "WarmupLeftMs": 0}}

    def send_heartbeat(self):
        call = urllib.request.Request(
            f"http://{self.machine.address('admin')}/rpc?call=instances.heartbeat&of={self.id}",
            json.dumps(self.next_heartbeat()).encode(), {"Content-Type": "application/json"},
            method="POST")
        try:
            with urllib.request.urlopen(call, timeout=1):
                pass
        except OSError:
            pass  # The node is down at this moment.

    def beat(self):
        while True:
            self.send_heartbeat()
            time.sleep(HEARTBEAT_S)


class Machine:
    """A `sidecar` machine: a node, its target and its settings file."""

    def __init__(self, deployment, name, zone, service, ip):
        self.name, self.zone, self.service, self.ip = name, zone, service, ip
        self.ports = deployment.ports
        self.deployment = deployment
        self.settings = pathlib.Path(deployment.folder.name) / f"{name}.toml"
        self.settings.write_text(self.settings_text(), encoding="utf-8")
        self.log = open(pathlib.Path(deployment.folder.name) / f"{name}.log", "wb")
        self.process = None
        self.target = deployment.target_class(self, deployment.record)

    def address(self, port):
        return f"{self.ip}:{self.ports[port]}"

    def settings_text(self):
        d = self.deployment
        lines = [f"{key} = {json.dumps(value)}" for key, value in {
            "NodeId": self.name, "Role": "node", "MachineClass": "sidecar", "Serves": ["sidecar"],
            "Ip": self.ip, "Zone": self.zone, "Region": "seoul",
            "PortRange": [self.ports["peer"], self.ports["peer"] + 1], "Seeds": [],
            "Bootstrap": False, "FaultCounted": False, "HeartbeatMs": int(HEARTBEAT_S * 1000),
            "LocalApp": self.address("app"), "Service": self.service}.items()]
        lines += ["[Bind]", f'Outbound = "{self.address("outbound")}"',
                  f'Readiness = "{self.address("readiness")}"',
                  f'Admin = "{self.address("admin")}"', "[Limits]",
                  "MemoryMb = 260", "MaxFds = 4100", "[Bounds]"]
        lines += [f"{key} = {value}" for key, value in d.bounds.items()]
        lines += ["[Platform]", f'Address = "{d.store.address}"']
        return "\n".join(lines) + "\n"

    def start(self):
        environment = {"PATH": os.environ.get("PATH", ""), "HOME": os.environ.get("HOME", ""),
                       "BUCKTHORNFORD_NODE_FILE": str(self.settings)}
        self.process = subprocess.Popen([str(PROGRAM)], env=environment, cwd=str(ROOT),
                                        stdout=self.log, stderr=self.log)
        self.deployment.record.write("node-started", node=self.name)

    def signal(self, number):
        self.process.send_signal(number)
        self.deployment.record.write("signal", node=self.name, signal=signal.Signals(number).name)
        return time.monotonic()

    def is_ready(self):
        try:
            with urllib.request.urlopen(f"http://{self.address('readiness')}/readyz",
                                        timeout=1) as response:
                return response.status == 200
        except OSError:
            return False


class Deployment:
    """Machines with their nodes, beside one store."""

    bounds = {"ContactMs": 3000, "AckMs": 4000, "DrainMs": 2500, "GraceS": 6, "LossSlackMs": 200,
              "ConvergeMs": 2500, "RevertSlackMs": 250, "SkewMaxMs": 5000, "RetryRatio": 0.2,
              "RetryWindowS": 10, "BudgetSlack": 48, "RecoverS": 15}

    def __init__(self, folder, machines, routes, limits=None, target_class=Target):
        """`machines` is a list of (name, zone, service)."""
        if not PROGRAM.exists():
            raise CaseCannotRun(f"{PROGRAM} has not been built")
        self.record = Record(folder)
        self.target_class = target_class
        self.folder = tempfile.TemporaryDirectory(prefix="review-")
        network = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        ips = [f"{network}.{i + 10}" for i in range(len(machines))]
        self.ports = self.free_ports(ips)
        self.store = Store(f"{network}.2", self.record)
        services = sorted({service for _, _, service in machines})
        self.store.put_configuration(configuration(3, routes, services, limits or LIMITS))
        self.machines = {name: Machine(self, name, zone, service, ip)
                         for (name, zone, service), ip in zip(machines, ips)}
        for machine in self.machines.values():
            machine.start()

    @staticmethod
    def free_ports(ips):
        """Returns ports by use that are free on all addresses."""
        names = ["outbound", "readiness", "admin", "app", "peer", "metrics"]
        for _ in range(50):
            first = random.randint(20000, 32000)
            sockets = []
            try:
                for ip in ips:
                    for i in range(len(names)):
                        sockets.append(socket.create_server((ip, first + i)))
                return {name: first + i for i, name in enumerate(names)}
            except OSError:
                continue
            finally:
                for taken in sockets:
                    taken.close()
        raise CaseCannotRun("no free ports")

    def wait_ready(self, paths):
        """Waits until every node is ready and serves each of `paths`."""
        end = time.monotonic() + START_LIMIT_S
        for machine in self.machines.values():
            while not machine.is_ready():
                if time.monotonic() > end:
                    raise CaseCannotRun(f"{machine.name} does not become ready")
                time.sleep(0.1)
            for path in paths:
                while Request(self, machine, path, request=f"warm-{random.getrandbits(40):x}"
                              ).send().finish().status != 200:
                    if time.monotonic() > end:
                        raise CaseCannotRun(f"{machine.name} does not serve {path}")
                    time.sleep(0.2)

    def runs_of(self, request):
        return [run for machine in self.machines.values()
                for run in machine.target.runs.get(request, [])]

    def close(self):
        for machine in self.machines.values():
            if machine.process is not None and machine.process.poll() is None:
                machine.process.kill()
            if machine.process is not None:
                machine.process.wait()
            machine.target.server.shutdown()
        self.store.server.shutdown()
        self.folder.cleanup()


class Request:
    """One client attempt on a connection of its own or on a kept one."""

    def __init__(self, deployment, machine, path, method="GET", body=b"", deadline_ms=6000,
                 headers=b"", request=None, connection=None):
        self.record = deployment.record
        self.machine, self.path, self.method, self.body = machine, path, method, body
        self.deadline_ms, self.headers = deadline_ms, headers
        self.id = request or f"{random.getrandbits(64):016x}"
        self.socket = connection
        self.status = self.signature = None
        self.received = b""
        self.head = None
        self.expected = None  # length of the body
        self.error = ""
        self.sent_at = self.ended_at = None

    def connect(self):
        self.socket = socket.socket()
        self.socket.settimeout(self.deadline_ms / 1000 + 2)
        self.socket.connect((self.machine.ip, self.machine.ports["outbound"]))

    def send(self):
        self.record.write("client-sends", request=self.id, node=self.machine.name,
                          method=self.method, path=self.path)
        self.sent_at = time.monotonic()
        try:
            if self.socket is None:
                self.connect()
            head = (f"{self.method} {self.path} HTTP/1.1\r\nHost: {HOST}\r\n"
                    f"X-Request-Id: {self.id}\r\nX-Deadline-Ms: {self.deadline_ms}\r\n").encode()
            head += self.headers
            if self.body or self.method == "POST":
                head += f"Content-Length: {len(self.body)}\r\n".encode()
            self.socket.sendall(head + b"\r\n" + self.body)
        except OSError as error:
            self.error = repr(error)
        return self

    def receive(self, size):
        """Receives up to `size` bytes. Returns whether there may be more of the answer."""
        if self.error or self.is_whole():
            return False
        try:
            data = self.socket.recv(size)
        except OSError as error:
            self.error = repr(error)
            return False
        if not data:
            self.error = "closed"
            return False
        self.received += data
        if self.head is None and b"\r\n\r\n" in self.received:
            self.head, self.received = self.received.split(b"\r\n\r\n", 1)
            lines = self.head.decode("latin-1").split("\r\n")
            self.status = int(lines[0].split()[1])
            fields = {name.strip().lower(): value.strip()
                      for name, value in (line.split(":", 1) for line in lines[1:])}
            self.signature = fields.get("x-server-signature")
            self.expected = int(fields.get("content-length", 0))
        return not self.is_whole()

    def is_whole(self):
        return self.head is not None and len(self.received) >= self.expected

    def finish(self, close=True):
        """Receives the rest of the answer and notes how the request ended."""
        while self.receive(1 << 18):
            pass
        self.ended_at = time.monotonic()
        self.record.write("client-ends", request=self.id, status=self.status,
                          signature=self.signature, whole=self.is_whole(), error=self.error,
                          bytes=len(self.received), expected=self.expected,
                          after_s=round(self.ended_at - self.sent_at, 3))
        if close and self.socket is not None:
            self.socket.close()
        return self


def main(case, folder):
    """Runs `case(folder)`, which returns the violations, and ends with the code of the result."""
    # A SIGTERM, as of timeout(1), ends the case by an exception, so that it ends its processes.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    try:
        violations = case(folder)
    except Exception as error:  # Whatever went wrong, it says nothing about the rule.
        print(f"cannot run: {error!r}")
        sys.exit(NOT_RUN)
    for text in violations:
        print(f"violation: {text}")
    print("rule broken" if violations else "rule held")
    sys.exit(BROKEN if violations else HELD)

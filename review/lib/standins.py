"""Stand-ins of the platform's store and of targets, and a client, for the cases of the review.

They speak what the users' pages PROTOCOL.md and DEPLOY.md say. All sockets are on loopback.
"""

import base64
import json
import os
import pathlib
import signal
import socket
import subprocess
import tempfile
import threading
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
NODE = ROOT / "target" / "bin" / "buckthornford-platform-node"


class Record:
    """Writes what was sent, answered and run to record.txt, with seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()
        self.lock = threading.Lock()

    def write(self, text):
        with self.lock:
            self.file.write(f"{time.monotonic() - self.start:8.3f} {text}\n")
            self.file.flush()


def free_ports(count):
    """Returns `count` free consecutive loopback ports outside the ephemeral range."""
    first = 12000 + (os.getpid() * 37) % 15000
    while True:
        sockets = []
        try:
            for port in range(first, first + count):
                probe = socket.socket()
                sockets.append(probe)
                probe.bind(("127.0.0.1", port))
            return list(range(first, first + count))
        except OSError:
            first = 12000 + (first - 12000 + count) % 15000
        finally:
            for probe in sockets:
                probe.close()


class Message:
    def __init__(self, first_line, headers, body):
        self.first_line = first_line
        self.headers = headers  # names in lower case
        self.body = body


def read_message(stream):
    """Reads one HTTP/1.1 message with a Content-Length. Returns None at the end of the stream."""
    first_line = stream.readline().decode("latin-1").rstrip("\r\n")
    if not first_line:
        return None
    headers = {}
    while True:
        line = stream.readline().decode("latin-1")
        if not line:
            return None
        line = line.rstrip("\r\n")
        if not line:
            break
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", 0))
    body = stream.read(length) if length else b""
    if len(body) < length:
        return None
    return Message(first_line, headers, body)


def write_message(connection, first_line, headers, body=b""):
    head = first_line + "\r\n" + "".join(f"{name}: {value}\r\n" for name, value in headers)
    head += f"Content-Length: {len(body)}\r\n\r\n"
    connection.sendall(head.encode("latin-1") + body)


class HttpServer:
    """Accepts connections and serves one request after another on each, a thread a connection."""

    def __init__(self, address):
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(address)
        self.listener.listen(256)
        self.connections = set()
        self.lock = threading.Lock()
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with self.lock:
                self.connections.add(connection)
            threading.Thread(target=self.run, args=(connection,), daemon=True).start()

    def run(self, connection):
        try:
            with connection.makefile("rb") as stream:
                while (message := read_message(stream)) is not None:
                    if not self.serve(connection, message):
                        return
        except (OSError, ValueError):
            pass
        finally:
            with self.lock:
                self.connections.discard(connection)
            connection.close()

    def serve(self, connection, message):
        raise NotImplementedError

    def stop(self):
        """Ends as a process does that exits: all its sockets are closed."""
        self.listener.close()
        with self.lock:
            connections = list(self.connections)
        for connection in connections:
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass


class Store(HttpServer):
    """The platform's store: tables with a feed of changes."""

    def __init__(self, address):
        self.rows = {}
        self.version = 1
        self.history = []
        self.changed = threading.Condition()
        super().__init__(address)

    def serve(self, connection, message):
        method, target, _ = message.first_line.split(" ")
        path, _, query_text = target.partition("?")
        query = dict(part.partition("=")[::2] for part in query_text.split("&") if part)
        if (method, path) == ("GET", "/rows-get"):
            status, answer = 200, self.read(query)
        elif (method, path) == ("GET", "/rows-feed"):
            status, answer = 200, self.feed(query)
        elif (method, path) == ("POST", "/rows-tx"):
            status, answer = self.transact(json.loads(message.body))
        else:
            status, answer = 404, {}
        write_message(connection, f"HTTP/1.1 {status} x", [("Content-Type", "application/json")],
                      json.dumps(answer).encode())
        return True

    def response(self, rows, more=False):
        return {"Rows": rows, "HasMore": more, "Ver": self.version,
                "NowMs": int(time.monotonic() * 1000)}

    def read(self, query):
        with self.changed:
            names = sorted(name for name in self.rows
                           if name[0] == query["Table"] and name[1] == query.get("part", "")
                           and name[2] >= query.get("From", ""))
            limit = int(query.get("Limit", 500))
            return self.response([self.rows[name] for name in names[:limit]], len(names) > limit)

    def feed(self, query):
        after = int(query["after"])
        end = time.monotonic() + int(query["WaitMs"]) / 1000
        with self.changed:
            while True:
                rows = [row for row in self.history
                        if row["Ver"] > after and row["Table"] == query["Table"]]
                left_s = end - time.monotonic()
                if rows or left_s <= 0:
                    return self.response(rows)
                self.changed.wait(left_s)

    def transact(self, entries):
        with self.changed:
            for expected in entries.get("ExpectedRev", []):
                row = self.rows.get((expected["Table"], expected["part"], expected["Key"]))
                if (row["Ver"] if row else 0) != expected["Ver"]:
                    return 412, self.response([row] if row else [])
            self.version += 1
            for put in entries.get("Puts", []):
                row = dict(put, Ver=self.version)
                self.rows[(put["Table"], put["part"], put["Key"])] = row
                self.history.append(row)
            for removed in entries.get("Remove", []):
                self.rows.pop((removed["Table"], removed["part"], removed["Key"]), None)
                self.history.append(dict(removed, IsDeleted=True, Ver=self.version))
            self.changed.notify_all()
            return 200, {"Ver": self.version, "NowMs": int(time.monotonic() * 1000)}

    def put_configuration(self, document):
        """Writes op/config as the operator does; acknowledged when this returns."""
        value = base64.b64encode(json.dumps(document).encode()).decode()
        self.transact({"Puts": [{"Table": "op", "part": "", "Key": "config", "Value": value}]})


def configuration(version, routes, services):
    """Builds a configuration. Each route is (prefix, kind, service)."""
    resources = [
        {"ResourceKind": "Routes", "Metadata": {"Name": "r" + prefix.strip("/")},
         "Spec": {"Host": "swap.example", "Prefix": prefix, "Kind": kind, "Service": service,
                  "TimeoutMs": 5000, "TargetLatencyMs": 1500, "Priority": 0, "MaxAttempts": 2}}
        for prefix, kind, service in routes]
    resources += [{"ResourceKind": "Services", "Metadata": {"Name": name},
                   "Spec": {"HealthPath": "/healthz", "MaxConnections": 754}}
                  for name in services]
    resources.append({"ResourceKind": "Limits", "Metadata": {"Name": "limits"},
                      "Spec": {"HeaderBytes": 16384, "MaxBodyBytes": 1048576,
                               "HeaderTimeoutMs": 5000, "IdleTimeoutMs": 15000}})
    return {"Version": version, "Resources": resources}


class Target(HttpServer):
    """An application target: runs requests, and says so in the record."""

    def __init__(self, address, identity, service, record, work_s=0.05):
        self.address = address
        self.identity = identity
        self.service = service
        self.record = record
        self.work_s = work_s
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.runs = []  # (time, request id, path)
        self.running = 0
        super().__init__(address)

    def serve(self, connection, message):
        method, target, _ = message.first_line.split(" ")
        request = message.headers.get("x-request-id", "")
        echo = [("X-Request-Id", request)]
        if target == "/healthz":
            write_message(connection, "HTTP/1.1 200 OK", [("X-Instance-Id", self.identity)])
            return True
        expected = message.headers.get("x-expected-instance", self.identity)
        if expected != self.identity:
            self.record.write(f"target {self.identity} answers 421 to {request}")
            write_message(connection, "HTTP/1.1 421 Misdirected Request", echo)
            return True
        self.runs.append((time.monotonic(), request, target))
        self.record.write(f"target {self.identity} ({self.service}) runs {request} {method} {target}")
        self.running += 1
        time.sleep(min(self.work_s, int(message.headers.get("x-deadline-ms", 5000)) / 1000))
        self.running -= 1
        headers = echo + [("X-Server-Signature", f"sig.{request}"),
                          ("X-Server-Load", f"{self.running},0,109,100")]
        write_message(connection, "HTTP/1.1 200 OK", headers, b"answer to " + request.encode())
        return True

    def heartbeat_body(self, state="ready"):
        self.sequence += 1
        host, port = self.address
        return {"Address": f"{host}:{port}", "born": self.born,
                "Info": {"Service": self.service, "Version": "v1", "Zone": "kgl-a", "Slots": 109},
                "Status": {"State": state, "Sequence": self.sequence, "WarmupLeftMs": 0}}

    def announce(self, admin, call, body):
        """Makes one call to the node. Returns the status; 0 if there was no response."""
        try:
            with socket.create_connection(admin, timeout=1) as connection:
                connection.settimeout(1)
                write_message(connection, f"POST /rpc?call=instances.{call}&of={self.identity} HTTP/1.1",
                              [("Host", "admin"), ("Content-Type", "application/json")],
                              json.dumps(body).encode())
                with connection.makefile("rb") as stream:
                    answer = read_message(stream)
                    return int(answer.first_line.split(" ")[1]) if answer else 0
        except OSError:
            return 0


class Node:
    """A deployed node process with its settings file."""

    def __init__(self, name, zone, region, service, target_port, store, folder, ports, environment=None):
        self.name = name
        self.service = service
        self.peer_port, metrics, outbound, readiness, admin, inbound = ports
        self.outbound, self.readiness = ("127.0.0.1", outbound), ("127.0.0.1", readiness)
        self.admin = ("127.0.0.1", admin)
        self.file = pathlib.Path(folder) / f"{name}.toml"
        self.log = open(pathlib.Path(folder) / f"{name}.log", "ab")
        self.environment = {"PATH": os.environ.get("PATH", ""), "HOME": folder,
                            "BUCKTHORNFORD_NODE_FILE": str(self.file)} | (environment or {})
        self.process = None
        self.file.write_text(f"""NodeId = "{name}"
Role = "node"
MachineClass = "sidecar"
Serves = ["sidecar"]
Ip = "127.0.0.1"
Zone = "{zone}"
Region = "{region}"
PortRange = [{self.peer_port},{metrics}]
Seeds = []
Bootstrap = false
HeartbeatMs = 1500
LocalApp = "127.0.0.1:{target_port}"
Service = "{service}"
[Bind]
Inbound = "127.0.0.1:{inbound}"
Outbound = "127.0.0.1:{outbound}"
Readiness = "127.0.0.1:{readiness}"
Admin = "127.0.0.1:{admin}"
[Limits]
CpuShare = 0.4
Cpus = 1
MemoryMb = 260
MaxFds = 4100
[Bounds]
SeedLagS = 3
AddrReuseS = 2
ContactMs = 3000
AckMs = 4000
SyncS = 4
DrainMs = 2500
GraceS = 6
LossSlackMs = 200
ConvergeMs = 2500
RevertSlackMs = 250
SkewMaxMs = 5000
RetryRatio = 0.2
RetryWindowS = 10
BudgetSlack = 47
RecoverS = 15
[Platform]
Address = "{store[0]}:{store[1]}"
form = "table"
WritesPerS = 400
ReadsPerS = 2000
""")

    def start(self):
        self.process = subprocess.Popen([str(NODE)], cwd=ROOT, env=self.environment,
                                        stdout=self.log, stderr=self.log)

    def kill(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    def is_ready(self):
        try:
            with socket.create_connection(self.readiness, timeout=1) as connection:
                connection.settimeout(1)
                write_message(connection, "GET /readyz HTTP/1.1", [("Host", "ready")])
                with connection.makefile("rb") as stream:
                    answer = read_message(stream)
                    return answer is not None and " 200 " in answer.first_line + " "
        except OSError:
            return False


class Client:
    """Sends requests, each on a connection of its own."""

    def __init__(self, record):
        self.record = record
        self.count = 0
        self.lock = threading.Lock()

    def send(self, node, method, path, body=b"", deadline_ms=5000):
        """Sends one request. Returns (request id, time of sending, status); status 0: no answer."""
        with self.lock:
            self.count += 1
            request = f"{self.count:08x}"
        sent = time.monotonic()
        self.record.write(f"client sends {request} {method} {path} to {node.name}")
        status, signed = 0, False
        try:
            with socket.create_connection(node.outbound, timeout=1) as connection:
                connection.settimeout(deadline_ms / 1000)
                write_message(connection, f"{method} {path} HTTP/1.1",
                              [("Host", "swap.example"), ("X-Request-Id", request),
                               ("X-Deadline-Ms", str(deadline_ms))], body)
                with connection.makefile("rb") as stream:
                    answer = read_message(stream)
                    if answer is not None:
                        status = int(answer.first_line.split(" ")[1])
                        signed = "x-server-signature" in answer.headers
        except OSError:
            pass
        self.record.write(f"client gets {status} for {request}{' (signed)' if signed else ''}")
        return request, sent, status


def wait_until(condition, seconds):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if condition():
            return True
        time.sleep(0.05)
    return False

"""Stand-ins that speak the users' published protocol: their store and their upstreams.

Small on purpose: each has switches for the faults that the tests need.
"""

import base64
import http.server
import json
import threading
import time
import urllib.parse
import urllib.request


SLOW_S = 0.3  # of a call while the store is slow


class Server(http.server.ThreadingHTTPServer):
    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = 128

    def handle_error(self, request, client_address):
        """Clients that are killed leave their connections broken; that is no error here."""


class Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def log_message(self, *_):
        pass

    def body(self):
        return self.rfile.read(int(self.headers.get("Content-Length", 0)))

    def hang_up(self):
        self.close_connection = True
        self.connection.close()

    def reply(self, status, body=b"", headers=()):
        if not isinstance(body, bytes):
            body = json.dumps(body).encode()
        self.send_response(status)
        for name, value in headers:
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)


class Store:
    """The table part of the store, with its history."""

    def __init__(self, port):
        self.rows = {}
        self.version = 1
        self.history = []
        self.forgotten = 0  # versions up to here are no longer in the history
        self.fault = None  # "down", "silent", "slow" or "lost"
        self.calls = 0
        self.changed = threading.Condition()
        store = self

        class StoreHandler(Handler):
            def do_GET(self):
                store.calls += 1
                if store.is_hindered(self):
                    return
                url = urllib.parse.urlsplit(self.path)
                query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
                if url.path == "/rows-get":
                    self.reply(200, store.read(query))
                elif url.path == "/rows-feed":
                    answer = store.feed(query)
                    if not store.is_hindered(self):
                        self.reply(*answer)
                else:
                    self.reply(404)

            def do_POST(self):
                store.calls += 1
                entries = json.loads(self.body())
                if store.is_hindered(self):
                    return
                answer = store.transact(entries)
                if store.fault == "lost":
                    self.hang_up()
                else:
                    self.reply(*answer)

        self.server = Server(("127.0.0.1", port), StoreHandler)
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def is_hindered(self, handler):
        """Acts as the fault in force says. Returns whether that ended the call."""
        if self.fault == "slow":
            time.sleep(SLOW_S)
        if self.fault == "down":
            handler.reply(503)
        if self.fault == "silent":
            while self.fault == "silent":
                time.sleep(0.05)
            handler.hang_up()
            return True
        return self.fault == "down"

    def answer(self, rows):
        return {"Rows": rows, "HasMore": False, "Ver": self.version, "NowMs": int(time.monotonic() * 1000)}

    def read(self, query):
        with self.changed:
            rows = [
                row
                for (table, part, key), row in sorted(self.rows.items())
                if table == query["Table"] and part == query.get("part", "") and key >= query.get("From", "")
            ]
            return self.answer(rows[: int(query.get("Limit", 500))])

    def feed(self, query):
        after = int(query["after"])
        end = time.monotonic() + int(query["WaitMs"]) / 1000
        with self.changed:
            while True:
                if after < self.forgotten:
                    return (410, {})
                rows = [row for row in self.history if row["Ver"] > after and row["Table"] == query["Table"]]
                left = end - time.monotonic()
                if rows or left <= 0 or self.fault in ("down", "silent"):
                    return (200, self.answer(rows))
                self.changed.wait(left)

    def transact(self, entries):
        with self.changed:
            for wanted in entries.get("ExpectedRev", []):
                row = self.rows.get((wanted["Table"], wanted["part"], wanted["Key"]))
                if (row["Ver"] if row else 0) != wanted["Ver"]:
                    return (412, self.answer([row] if row else []))
            self.version += 1
            for put in entries.get("Puts", []):
                row = dict(put, Ver=self.version)
                self.rows[(put["Table"], put["part"], put["Key"])] = row
                self.history.append(row)
            for gone in entries.get("Remove", []):
                self.rows.pop((gone["Table"], gone["part"], gone["Key"]), None)
                self.history.append(dict(gone, IsDeleted=True, Ver=self.version))
            self.changed.notify_all()
            return (200, {"Ver": self.version, "NowMs": 0})

    def put_configuration(self, document):
        value = base64.b64encode(json.dumps(document).encode()).decode()
        self.transact({"Puts": [{"Table": "op", "part": "", "Key": "config", "Value": value}]})

    def set_fault(self, fault):
        with self.changed:
            self.fault = fault
            self.changed.notify_all()

    def forget(self):
        with self.changed:
            self.history.clear()
            self.version += 5
            self.forgotten = self.version
            self.changed.notify_all()


class Upstream:
    """One upstream instance: runs requests, keeps a ledger, reports to its node."""

    def __init__(self, port, identity, service, admin):
        self.identity = identity
        self.service = service
        self.admin = admin
        self.address = f"127.0.0.1:{port}"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.work_s = 0.0
        self.state = "ready"
        self.fault = None  # a function that takes the handler and answers in the upstream's place
        self.ran = []
        self.cut = []
        upstream = self

        class UpstreamHandler(Handler):
            def run(self):
                body = self.body()
                request = self.headers["X-Request-Id"]
                echo = [("X-Request-Id", request)]
                if self.headers["X-Expected-Instance"] != upstream.identity:
                    self.reply(421, headers=echo)
                    return
                if upstream.fault and upstream.fault(self):
                    return
                upstream.ran.append((request, self.command, self.path, body, dict(self.headers)))
                time.sleep(upstream.work_s)
                signed = echo + [("X-Server-Signature", "sig-" + request), ("X-Server-Load", "1,0,8,100")]
                try:
                    self.reply(200, b"answer to " + request.encode(), signed)
                except OSError:
                    upstream.cut.append(request)

            do_GET = do_POST = run

        self.server = Server(("127.0.0.1", port), UpstreamHandler)
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def beat(self):
        """Reports to the node. Returns the status of the acknowledgement."""
        self.sequence += 1
        body = {
            "born": self.born,
            "Address": self.address,
            "Info": {"Service": self.service, "Version": "v1", "Zone": "z", "Slots": 8},
            "Status": {"State": self.state, "Sequence": self.sequence, "WarmupLeftMs": 0},
        }
        return self.call("instances.heartbeat", body)

    def call(self, name, body):
        request = urllib.request.Request(
            f"http://{self.admin}/rpc?call={name}&of={self.identity}", json.dumps(body).encode(), method="POST"
        )
        with urllib.request.urlopen(request, timeout=2) as response:
            return response.status

    def stop(self):
        self.server.shutdown()
        self.server.server_close()


def configuration(version, routes, services):
    """A configuration; routes are (host, prefix, kind, service, timeout in ms)."""
    resources = [
        {
            "ResourceKind": "Routes",
            "Metadata": {"Name": f"r-{host}-{prefix}"},
            "Spec": {
                "Host": host,
                "Prefix": prefix,
                "Kind": kind,
                "TimeoutMs": timeout,
                "TargetLatencyMs": 1000,
                "Priority": 0,
                "Service": service,
                "MaxAttempts": 2,
            },
        }
        for host, prefix, kind, service, timeout in routes
    ]
    resources += [
        {"ResourceKind": "Services", "Metadata": {"Name": name}, "Spec": {"HealthPath": "/healthz"}}
        for name in services
    ]
    limits = {"HeaderBytes": 16384, "MaxBodyBytes": 65536, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}
    resources.append({"ResourceKind": "Limits", "Metadata": {}, "Spec": limits})
    return {"Version": version, "BaseVersion": 0, "Resources": resources}


def settings_text(name, zone, service, ports, doors, store, seeds=()):
    """A node's settings file; doors are (outbound, readiness, admin) and ports the range's ends."""
    outbound, readiness, admin = doors
    return f"""NodeId = "{name}"
Ip = "127.0.0.1"
Zone = "{zone}"
Region = "r"
PortRange = [{ports[0]},{ports[1]}]
Seeds = {list(seeds)}
Service = "{service}"
[Bind]
Outbound = "{outbound}"
Readiness = "{readiness}"
Admin = "{admin}"
[Bounds]
RetryRatio = 0.2
BudgetSlack = 47
DrainMs = 2500
GraceS = 6
[Platform]
Address = "{store}"
"""

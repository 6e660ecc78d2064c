"""Stand-ins for the users' store and upstreams, which speak their published protocol.

They implement only what the tests need, with switches for faults.
"""

import base64
import http.server
import json
import socket
import struct
import threading
import time
import urllib.parse
import urllib.request


SLOW_S = 0.3  # delay before each response while the fault is "slow"


class Server(http.server.ThreadingHTTPServer):
    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = 128

    def handle_error(self, request, client_address):
        """Prints nothing: clients that are killed break their connections, which is expected."""


class Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True  # a head and its body are written separately

    def log_message(self, *_):
        pass

    def body(self):
        return self.rfile.read(int(self.headers.get("Content-Length", 0)))

    def drop_connection(self):
        self.close_connection = True
        self.connection.close()

    def reset_connection(self):
        """Closes the connection with a TCP reset. What was sent before has arrived."""
        self.close_connection = True
        linger = struct.pack("ii", 1, 0)  # on, for 0 s
        self.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        self.rfile.close()  # the last reference to the socket but that of the connection
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
    """The store's tables, with the history of their changes that its feed reads."""

    def __init__(self, port):
        self.rows = {}
        self.version = 1
        self.history = []
        self.truncated_version = 0  # the history holds only later versions
        self.era = 1  # rises each time the store comes back from a copy
        self.lost_writes = []  # of the operator, by the last restore
        self.fault = None  # "down" (503), "silent", "slow" or "lost" (answers of writes)
        self.broken_answer = None  # is called with the handler in place of an answer
        self.calls = 0
        self.changed = threading.Condition()
        store = self

        class StoreHandler(Handler):
            def parse_request(self):
                # An answer to a call that was under way at a restore names the era before it.
                self.era = store.era
                return super().parse_request()

            def end_headers(self):
                self.send_header("Store-Era", str(self.era))
                super().end_headers()

            def do_GET(self):
                store.calls += 1
                if store.broken_answer:
                    store.broken_answer(self)
                    return
                if store.apply_fault(self):
                    return
                url = urllib.parse.urlsplit(self.path)
                query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
                if url.path == "/rows-get":
                    self.reply(200, store.read(query))
                elif url.path == "/rows-feed":
                    response = store.feed(query)
                    if not store.apply_fault(self):
                        self.reply(*response)
                else:
                    self.reply(404)

            def do_POST(self):
                store.calls += 1
                operations = json.loads(self.body())
                if store.broken_answer:
                    store.broken_answer(self)
                    return
                if store.apply_fault(self):
                    return
                response = store.transact(operations)
                if store.fault == "lost":
                    self.drop_connection()
                else:
                    self.reply(*response)

        self.server = Server(("127.0.0.1", port), StoreHandler)
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def apply_fault(self, handler):
        """Acts as the active fault says. Returns whether the call has ended by that."""
        if self.fault == "slow":
            time.sleep(SLOW_S)
        if self.fault == "down":
            handler.reply(503)
        if self.fault == "silent":
            while self.fault == "silent":
                time.sleep(0.05)
            handler.drop_connection()
            return True
        return self.fault == "down"

    def rows_response(self, rows):
        return {"Rows": rows, "HasMore": False, "Ver": self.version,
                "NowMs": int(time.monotonic() * 1000)}

    def read(self, query):
        with self.changed:
            rows = [
                row
                for (table, part, key), row in sorted(self.rows.items())
                if table == query["Table"] and part == query.get("part", "")
                and key >= query.get("From", "")
            ]
            return self.rows_response(rows[: int(query.get("Limit", 500))])

    def feed(self, query):
        after = int(query["after"])
        deadline = time.monotonic() + int(query["WaitMs"]) / 1000
        with self.changed:
            era = self.era
            while True:
                if self.era != era:
                    return (503, {})
                if not self.truncated_version <= after <= self.version:
                    return (410, {})
                rows = [row for row in self.history if row["Ver"] > after
                        and row["Table"] == query["Table"]]
                remaining_s = deadline - time.monotonic()
                if rows or remaining_s <= 0 or self.fault in ("down", "silent"):
                    return (200, self.rows_response(rows))
                self.changed.wait(remaining_s)

    def transact(self, operations):
        with self.changed:
            for expected in operations.get("ExpectedRev", []):
                row = self.rows.get((expected["Table"], expected["part"], expected["Key"]))
                if (row["Ver"] if row else 0) != expected["Ver"]:
                    return (412, self.rows_response([row] if row else []))
            self.version += 1
            for put in operations.get("Puts", []):
                row = dict(put, Ver=self.version)
                self.rows[(put["Table"], put["part"], put["Key"])] = row
                self.history.append(row)
            for removed in operations.get("Remove", []):
                self.rows.pop((removed["Table"], removed["part"], removed["Key"]), None)
                self.history.append(dict(removed, IsDeleted=True, Ver=self.version))
            self.changed.notify_all()
            return (200, {"Ver": self.version, "NowMs": 0})

    def put_configuration(self, document):
        value = base64.b64encode(json.dumps(document).encode()).decode()
        self.put("op", "config", value)

    def put(self, table, key, value):
        self.transact({"Puts": [{"Table": table, "part": "", "Key": key, "Value": value}]})

    def rows_without_routes(self):
        """Returns the row of a configuration that knows no routes."""
        document = json.dumps(configuration(99, [], [])).encode()
        return [{"Table": "op", "part": "", "Key": "config", "Ver": self.version + 100,
                 "Value": base64.b64encode(document).decode()}]

    def values(self, table):
        """Returns the values of a table's rows by their keys."""
        with self.changed:
            return {name[2]: row["Value"] for name, row in self.rows.items() if name[0] == table}

    def set_fault(self, fault):
        with self.changed:
            self.fault = fault
            self.changed.notify_all()

    # Empties the history, so that readers of an older version get status 410.
    def truncate_history(self):
        with self.changed:
            self.history.clear()
            self.version += 5
            self.truncated_version = self.version
            self.changed.notify_all()

    def copy(self):
        """Returns a copy of the state, for restore()."""
        with self.changed:
            return dict(self.rows), self.version, list(self.history), self.truncated_version

    def restore(self, copy):
        """Comes back from a copy: what was written since is lost, and versions are reused."""
        with self.changed:
            rows = self.rows
            copied_rows, self.version, copied_history, self.truncated_version = copy
            self.rows, self.history = dict(copied_rows), list(copied_history)
            self.lost_writes = [
                {"ExpectedRev": [dict(row, Ver=self.rows.get(name, {"Ver": 0})["Ver"])],
                 "Puts": [row]}
                for name, row in rows.items() if name[0] == "op" and row["Ver"] > self.version
            ]
            self.era += 1
            self.changed.notify_all()

    def repeat_lost_writes(self):
        """Writes the operator's lost rows again, except those that it has written since."""
        for write in self.lost_writes:
            self.transact(write)


class Upstream:
    """An upstream instance: runs requests, lists them and sends heartbeats to its node."""

    def __init__(self, port, identity, service, admin):
        self.identity = identity
        self.service = service
        self.admin = admin
        self.address = f"127.0.0.1:{port}"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.work_s = 0.0
        self.padding = b""  # follows the text of each answer
        self.state = "ready"
        self.fault = None  # is called with the handler; true if it has ended the request
        self.early_fault = None  # like fault, but is called before the body is read
        self.executions = []
        self.unsent = []  # ids of requests whose responses could not be sent
        upstream = self

        class UpstreamHandler(Handler):
            def execute(self):
                if upstream.early_fault and upstream.early_fault(self):
                    return
                body = self.body()
                request_id = self.headers["X-Request-Id"]
                echo = [("X-Request-Id", request_id)]
                if self.headers["X-Expected-Instance"] != upstream.identity:
                    self.reply(421, headers=echo)
                    return
                if upstream.fault and upstream.fault(self):
                    return
                upstream.executions.append((request_id, self.command, self.path, body,
                                            dict(self.headers)))
                time_left_s = int(self.headers["X-Deadline-Ms"]) / 1000
                work_s = upstream.work_s_of(self.path)
                deadline = time.monotonic() + time_left_s
                is_called = upstream.make_calls(request_id, self.path, time_left_s)
                time.sleep(max(0.0, min(work_s, deadline - time.monotonic())))
                upstream.record_end(request_id, time.monotonic() - deadline)
                signed = echo + [("X-Server-Signature", "sig-" + request_id),
                                 ("X-Server-Load", "1,0,8,100")]
                try:
                    if work_s > time_left_s:
                        self.reply(504, b"deadline", signed)
                    elif not is_called:
                        self.reply(500, b"a call has failed", signed)
                    else:
                        self.reply(200, b"answer to " + request_id.encode() + upstream.padding,
                                   signed)
                except OSError:
                    upstream.unsent.append(request_id)

            do_GET = do_POST = execute

        self.server = Server(("127.0.0.1", port), UpstreamHandler)
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def work_s_of(self, path):
        """Returns how long the request for `path` works."""
        del path
        return self.work_s

    def make_calls(self, request_id, path, time_left_s):
        """Makes the calls that the request needs. Returns whether they were served."""
        del request_id, path, time_left_s
        return True

    def record_end(self, request_id, past_deadline_s):
        """Is called at the end of each execution, before its response."""

    def heartbeat_body(self):
        """Builds the next heartbeat."""
        self.sequence += 1
        return {
            "born": self.born,
            "Address": self.address,
            "Info": {"Service": self.service, "Version": "v1", "Zone": "z", "Slots": 8},
            "Status": {"State": self.state, "Sequence": self.sequence, "WarmupLeftMs": 0},
        }

    def send_heartbeat(self):
        """Sends a heartbeat to the node. Returns the HTTP status of its response."""
        return self.call("instances.heartbeat", self.heartbeat_body())

    def call(self, name, body=None):
        """Sends a call about itself to the node, without a body if `body` is None."""
        data = b"" if body is None else json.dumps(body).encode()
        request = urllib.request.Request(
            f"http://{self.admin}/rpc?call={name}&of={self.identity}", data, method="POST"
        )
        with urllib.request.urlopen(request, timeout=2) as response:
            return response.status

    def stop(self):
        self.server.shutdown()
        self.server.server_close()


def configuration(version, routes, services, max_body_bytes=65536):
    """Builds a configuration. Each route is (host, prefix, kind, service, timeout in ms)."""
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
    limits = {"HeaderBytes": 16384, "MaxBodyBytes": max_body_bytes, "HeaderTimeoutMs": 3000,
              "IdleTimeoutMs": 15000}
    resources.append({"ResourceKind": "Limits", "Metadata": {}, "Spec": limits})
    return {"Version": version, "BaseVersion": 0, "Resources": resources}


def settings_text(name, zone, service, ports, listeners, store, seeds=()):
    """Builds a node's settings file.

    `listeners` are the addresses (outbound, readiness, admin), `ports` the ends of the port range.
    """
    outbound, readiness, admin = listeners
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

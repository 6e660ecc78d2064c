"""A TCP proxy whose open connections can go silent for good, while new ones work."""

import random
import select
import socket
import struct
import threading
import time


class Proxy:
    """Forwards connections from `address` to `backend`.

    A silent connection passes on nothing more. The bytes that arrive on it are acknowledged by this
    machine's kernel, which those of a connection that has gone silent aren't; so the proxy resets a
    silent connection when its ends' own time-outs would have ended it:
    - `user_timeout_s` after the first byte that wasn't passed on (TCP_USER_TIMEOUT);
    - with `keep_alive` = (idle, interval, probes): when that many probes have had no answer. The
      first probe falls due at a random moment of the idle time.
    """

    def __init__(self, address, backend, user_timeout_s, keep_alive=None):
        self.backend = backend
        self.user_timeout_s = user_timeout_s
        self.keep_alive = keep_alive
        self.connections = set()
        self.lock = threading.Lock()
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(address)
        self.listener.listen(256)
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                client, _ = self.listener.accept()
            except OSError:
                return
            try:
                server = socket.create_connection(self.backend, timeout=1)
            except OSError:
                reset(client)
                continue
            connection = Connection(client, server, self.user_timeout_s)
            with self.lock:
                self.connections.add(connection)
            threading.Thread(target=self.run, args=(connection,), daemon=True).start()

    def run(self, connection):
        try:
            connection.pump()
        finally:
            with self.lock:
                self.connections.discard(connection)

    def silence(self):
        """Makes all open connections silent. Returns their number."""
        with self.lock:
            connections = list(self.connections)
        for connection in connections:
            end = None
            if self.keep_alive:
                idle_s, interval_s, probes = self.keep_alive
                end = time.monotonic() + random.uniform(0, idle_s) + interval_s * probes
            connection.go_silent(end)
        return len(connections)


class Connection:
    def __init__(self, client, server, user_timeout_s):
        self.sockets = (client, server)
        self.user_timeout_s = user_timeout_s
        self.is_silent = False
        self.end = None
        for one in self.sockets:
            one.settimeout(None)
            one.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def go_silent(self, end):
        self.end = end
        self.is_silent = True

    def pump(self):
        client, server = self.sockets
        while True:
            readable, _, _ = select.select([client, server], [], [], 0.02)
            if self.is_silent:
                return self.stay_silent()
            for source, sink in ((client, server), (server, client)):
                if source not in readable:
                    continue
                try:
                    data = source.recv(65536)
                    if data:
                        sink.sendall(data)
                except OSError:
                    data = b""
                if not data:
                    client.close()
                    server.close()
                    return

    def stay_silent(self):
        client, server = self.sockets
        while self.end is None or time.monotonic() < self.end:
            readable, _, _ = select.select([client, server], [], [], 0.02)
            for source in readable:
                try:
                    data = source.recv(65536)
                except OSError:
                    data = b""
                if not data:  # One end has given the connection up.
                    reset(client)
                    reset(server)
                    return
                sent = time.monotonic() + self.user_timeout_s
                self.end = sent if self.end is None else min(self.end, sent)
        reset(client)
        reset(server)


def reset(connection):
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    connection.close()

"""The faults of a soak. Each fault method starts a fault, waits while it lasts and ends it."""

import signal
import threading
import time

from deployment import fleet, now

DISTURBANCE_TAIL_S = 3.0  # an instance counts as disturbed for this long after a fault ended


def handles_hangup(process):
    """Whether the program has installed its SIGHUP handler; before that SIGHUP ends it."""
    with open(f"/proc/{process.pid}/status", encoding="ascii") as status:
        masks = dict(line.split(":") for line in status if line.startswith(("SigIgn", "SigCgt")))
    return any(int(mask, 16) >> (signal.SIGHUP - 1) & 1 for mask in masks.values())


def wait_for_exit(process, seconds):
    deadline = now() + seconds
    while process.poll() is None and now() < deadline:
        time.sleep(0.02)
    if process.poll() is None:
        process.kill()
    process.wait()


class Faults:
    """Injects random faults and records which instances they disturb, and when."""

    def __init__(self, deployment, random):
        self.deployment = deployment
        self.random = random
        self.faults = [
            self.kill_node, self.stop_node, self.pause_node, self.hang_up_node, self.kill_upstream,
            self.pause_upstream, self.drain_upstream, self.degrade_link, self.degrade_link,
            self.degrade_link, self.degrade_store, self.degrade_store, self.change_configuration,
            self.forget_history, self.restore_store,
        ]
        self.restore_lock = threading.Lock()  # one copy of the store at a time
        self.log = []

    def inject_random(self):
        """Injects one random fault into a random instance. Returns when the fault has ended."""
        fault = self.random.choice(self.faults)
        instance = self.random.choice(self.deployment.instances)
        duration_s = self.random.uniform(0.2, 4.0)
        self.log.append((round(now(), 3), fault.__name__, instance.name, round(duration_s, 2)))
        start = now()
        fault(instance, duration_s)
        instance.disturbed_intervals.append((start, now() + DISTURBANCE_TAIL_S))

    def kill_node(self, instance, duration_s):
        with instance.lock:
            instance.node.kill()
            instance.node.wait()
            time.sleep(min(duration_s, 1.5))
            instance.start_node()

    def stop_node(self, instance, _):
        with instance.lock:
            instance.node.send_signal(signal.SIGTERM)
            wait_for_exit(instance.node, 7.0)
            instance.start_node()

    def pause_node(self, instance, duration_s):
        self.pause(instance, instance.node, duration_s)

    def pause_upstream(self, instance, duration_s):
        self.pause(instance, instance.upstream, duration_s)

    @staticmethod
    def pause(instance, process, duration_s):
        with instance.lock:
            process.send_signal(signal.SIGSTOP)
            time.sleep(duration_s)
            process.send_signal(signal.SIGCONT)

    def hang_up_node(self, instance, _):
        with instance.lock:
            fleet.wait_until(lambda: handles_hangup(instance.node), 5, "a node to handle SIGHUP")
            instance.node.send_signal(signal.SIGHUP)

    def kill_upstream(self, instance, duration_s):
        with instance.lock:
            instance.upstream.kill()
            instance.upstream.wait()
            time.sleep(min(duration_s, 1.5))
            instance.start_upstream(same_identity=self.random.random() < 0.3)

    def drain_upstream(self, instance, _):
        with instance.lock:
            instance.upstream.send_signal(signal.SIGUSR1)
            wait_for_exit(instance.upstream, 12.0)
            instance.start_upstream()

    def degrade_link(self, instance, duration_s):
        name = self.random.choice(sorted(instance.links))
        fault = self.random.choice([
            {"delayMs": self.random.choice([20, 200, 800])},
            {"bytesPerSecond": 20000},
            {"cut": True},
            {"swallowToTarget": True},
            {"swallowToClient": True},
            {"swallowToTarget": True, "swallowToClient": True},
            {"swallowExisting": True},
            {"breakAfterBytes": self.random.choice([1, 100, 1000])},
        ])
        self.deployment.set_link(name, **fault)
        time.sleep(duration_s)
        self.deployment.set_link(name)

    def degrade_store(self, _, duration_s):
        store = self.deployment.store
        fault = self.random.choice(["down", "silent", "slow", "lost"])
        store.set_fault(fault)
        time.sleep(duration_s)
        store.set_fault(None)

    def forget_history(self, *_):
        self.deployment.store.truncate_history()

    def restore_store(self, _, duration_s):
        """The store comes back from a copy; what the operator lost is written again soon after."""
        store = self.deployment.store
        with self.restore_lock:
            copy = store.copy()
            time.sleep(duration_s)
            store.set_fault("down")
            time.sleep(self.random.uniform(0.1, 2.0))
            store.restore(copy)
            store.set_fault(None)
            time.sleep(self.random.uniform(0.0, 1.0))
            store.repeat_lost_writes()

    def change_configuration(self, *_):
        with self.deployment.lock:
            self.deployment.publish_configuration()


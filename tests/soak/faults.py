"""The faults of a soak. Each fault is (begin, seconds that it lasts, end)."""

import signal
import time

from deployment import fleet, now

TOUCH_S = 3.0  # after a disturbance a node counts as disturbed for this long


def handles_hangup(process):
    """Whether the program has got as far as to handle SIGHUP; before its main() nothing can."""
    with open(f"/proc/{process.pid}/status", encoding="ascii") as status:
        masks = dict(line.split(":") for line in status if line.startswith(("SigIgn", "SigCgt")))
    return any(int(mask, 16) >> (signal.SIGHUP - 1) & 1 for mask in masks.values())


def wait_for_end(process, seconds):
    deadline = now() + seconds
    while process.poll() is None and now() < deadline:
        time.sleep(0.02)
    if process.poll() is None:
        process.kill()
    process.wait()


class Faults:
    """Draws faults at random and notes which nodes they disturb, and when."""

    def __init__(self, deployment, random):
        self.deployment = deployment
        self.random = random
        self.kinds = [
            self.kill_node, self.stop_node, self.pause_node, self.hang_up_node, self.kill_upstream,
            self.pause_upstream, self.drain_upstream, self.degrade_link, self.degrade_link, self.degrade_link,
            self.degrade_store, self.degrade_store, self.change_configuration, self.forget_history,
        ]
        self.log = []

    def draw(self):
        """Injects one fault, from its start to its end."""
        kind = self.random.choice(self.kinds)
        instance = self.random.choice(self.deployment.instances)
        span = self.random.uniform(0.2, 4.0)
        self.log.append((round(now(), 3), kind.__name__, instance.name, round(span, 2)))
        begin = now()
        kind(instance, span)
        instance.disturbed.append((begin, now() + TOUCH_S))

    def kill_node(self, instance, span):
        with instance.lock:
            instance.node.kill()
            instance.node.wait()
            time.sleep(min(span, 1.5))
            instance.start_node()

    def stop_node(self, instance, _):
        with instance.lock:
            instance.node.send_signal(signal.SIGTERM)
            wait_for_end(instance.node, 7.0)
            instance.start_node()

    def pause_node(self, instance, span):
        self.pause(instance, instance.node, span)

    def pause_upstream(self, instance, span):
        self.pause(instance, instance.upstream, span)

    @staticmethod
    def pause(instance, process, span):
        with instance.lock:
            process.send_signal(signal.SIGSTOP)
            time.sleep(span)
            process.send_signal(signal.SIGCONT)

    def hang_up_node(self, instance, _):
        with instance.lock:
            fleet.wait_until(lambda: handles_hangup(instance.node), 5, "main() of a node")
            instance.node.send_signal(signal.SIGHUP)

    def kill_upstream(self, instance, span):
        with instance.lock:
            instance.upstream.kill()
            instance.upstream.wait()
            time.sleep(min(span, 1.5))
            instance.start_upstream(same_identity=self.random.random() < 0.3)

    def drain_upstream(self, instance, _):
        with instance.lock:
            instance.upstream.send_signal(signal.SIGUSR1)
            wait_for_end(instance.upstream, 12.0)
            instance.start_upstream()

    def degrade_link(self, instance, span):
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
        time.sleep(span)
        self.deployment.set_link(name)

    def degrade_store(self, _, span):
        store = self.deployment.store
        fault = self.random.choice(["down", "silent", "slow", "lost"])
        store.set_fault(fault)
        time.sleep(span)
        store.set_fault(None)

    def forget_history(self, *_):
        self.deployment.store.forget()

    def change_configuration(self, *_):
        with self.deployment.lock:
            self.deployment.configure()


"""Starts real processes for the integration tests."""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "scripts"))

import fleet  # noqa: E402  (needs the path set above)


def small_fleet(first_port, **node_flags):
    """Starts two chained services of two instances each, with the Kivu Ridge presets active."""
    services, presets, _ = fleet.read_example("kivu-ridge")
    for service in services["services"]:
        service["targets"] = 2
    running = fleet.Fleet(first_port=first_port, node_flags=node_flags)
    try:
        running.add_services(services)
        running.wait_ready()
        running.put_document(presets)
    except Exception:
        running.kill()
        raise
    return running

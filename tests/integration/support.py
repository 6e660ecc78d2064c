"""Shared by the integration tests: fleets of real processes."""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "scripts"))

import fleet  # noqa: E402  (the path above comes first)


def small_fleet(first_port, **node_flags):
    """Two chained services, two instances each, with the Kivu Ridge presets in force."""
    services, presets, _ = fleet.example("kivu-ridge")
    for service in services["services"]:
        service["targets"] = 2
    small = fleet.Fleet(first_port=first_port, node_flags=node_flags)
    try:
        small.add_services(services)
        small.wait_ready()
        small.put_document(presets)
    except Exception:
        small.kill()
        raise
    return small

"""Runs the Kivu Ridge example: six instances of two chained services in two zones."""

import subprocess
import sys

import fleet


def main():
    services, presets, mix = fleet.example("kivu-ridge")
    with fleet.Fleet(first_port=20000) as small:
        small.add_services(services)
        small.wait_ready()
        revision = small.put_document(presets)
        print(f"{len(small.slots)} instances serve; preset {presets['inForce']}, "
              f"revision {revision}", flush=True)
        mix_path = small.log_dir / "mix.json"
        mix_path.write_text((fleet.ROOT / "examples/kivu-ridge/mix.json").read_text())
        status = subprocess.call([
            str(fleet.BIN / "buckthornford-load"), f"--mix={mix_path}",
            "--entries=" + ",".join(slot["callers"] for slot in small.slots),
            "--ledgers=" + ",".join(slot["service"] for slot in small.slots),
        ])
        subprocess.call([str(fleet.BIN / "buckthornford-ctl"),
                         f"--node={small.slots[0]['operators']}", "instances"])
        bad = small.stop()
        for label in bad:
            print(f"{label} did not stop cleanly, see {small.log_dir}")
        return 1 if status or bad else 0


if __name__ == "__main__":
    sys.exit(main())

"""Runs the Kivu Ridge example: six instances of two chained services in two zones."""

import subprocess
import sys

import fleet


def main():
    services, presets, mix = fleet.read_example("kivu-ridge")
    with fleet.Fleet(first_port=20000) as running:
        running.add_services(services)
        running.wait_ready()
        revision = running.put_document(presets)
        print(f"{len(running.instances)} instances serve; active preset {presets['inForce']}, "
              f"revision {revision}", flush=True)
        mix_path = running.log_dir / "mix.json"
        mix_path.write_text((fleet.ROOT / "examples/kivu-ridge/mix.json").read_text())
        status = subprocess.call([
            str(fleet.BIN / "buckthornford-load"), f"--mix={mix_path}",
            "--entries=" + ",".join(instance["callers"] for instance in running.instances),
            "--ledgers=" + ",".join(instance["service"] for instance in running.instances),
        ])
        subprocess.call([str(fleet.BIN / "buckthornford-ctl"),
                         f"--node={running.instances[0]['operators']}", "instances"])
        unclean = running.stop()
        for label in unclean:
            print(f"{label} did not exit with status 0; its log is in {running.log_dir}")
        return 1 if status or unclean else 0


if __name__ == "__main__":
    sys.exit(main())

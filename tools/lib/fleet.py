"""Starts an example deployment as plain processes on loopback and controls it.

Logs, settings and reports go to the output folder of the run.
"""

import configparser
import json
import shlex
import subprocess
import time
import urllib.parse
from dataclasses import dataclass, field
from pathlib import Path

from processes import FleetError, Process, call, call_json, wait_until

ROOT = Path(__file__).resolve().parents[2]
# An assignment of slices that stays unchanged for this long is taken as final.
SETTLED_S = 1.5


@dataclass
class Upstream:
    """One upstream of the inventory."""

    name: str
    service: str
    data_centre: str
    region: str


@dataclass
class Deployment:
    """An inventory with its rules."""

    folder: Path
    services: dict = field(default_factory=dict)
    upstreams: list = field(default_factory=list)

    @staticmethod
    def read(folder):
        deployment = Deployment(Path(folder))
        inventory = configparser.ConfigParser(interpolation=None)
        inventory.read(deployment.folder / "inventory.ini")
        regions = {}
        for section in inventory.sections():
            kind, name = section.split(None, 1)
            if kind == "region":
                for data_centre in inventory[section]["data_centres"].split(","):
                    regions[data_centre.strip()] = name
            elif kind == "service":
                deployment.services[name] = inventory[section]["kind"]
        for section in inventory.sections():
            kind, name = section.split(None, 1)
            if kind == "upstream":
                data_centre = inventory[section]["data_centre"]
                deployment.upstreams.append(
                    Upstream(name, inventory[section]["service"], data_centre, regions[data_centre])
                )
        return deployment

    def upstreams_of_kind(self, kind):
        return [up for up in self.upstreams if self.services[up.service] == kind]

    def lookup_service(self):
        return next(name for name, kind in self.services.items() if kind == "lookup")

    def keyed_service(self):
        return next(name for name, kind in self.services.items() if kind == "keyed")


class Node:
    """A target and the process beside it."""

    def __init__(self, upstream, target_address, http_address, peer_address):
        self.upstream = upstream
        self.name = upstream.name
        self.target_address = target_address
        self.http = http_address
        self.peer = peer_address
        self.target = None
        self.daemon = None

    def target_faults(self, **faults):
        status, text = call(self.target_address, "/-/faults", "POST", json.dumps(faults))
        if status != 200:
            raise FleetError(f"the target of {self.name} refuses faults {faults}: {status} {text}")

    def status(self):
        return call_json(self.http, "/-/status")


class Fleet:
    """The processes of one deployment on loopback."""

    def __init__(self, deployment, out, base_port=18000, programs=None):
        self.deployment = deployment
        self.out = Path(out)
        self.out.mkdir(parents=True, exist_ok=True)
        self.programs = Path(programs or ROOT / "build/release")
        self.base_port = base_port
        self.platform = None
        self.platform_address = self._address(0)
        self.platform_control = self._address(1)
        self.nodes = {}
        self.loads = []
        self.target_flags = []
        for i, upstream in enumerate(deployment.upstreams):
            self.nodes[upstream.name] = Node(
                upstream,
                self._address(100 + i),
                self._address(200 + i),
                self._address(300 + i),
            )

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.stop()

    def _address(self, offset):
        return f"127.0.0.1:{self.base_port + offset}"

    def _process(self, name, program, flags):
        process = Process([self.programs / program, *flags], self.out / f"{name}.log")
        process.start()
        return process

    # Starting and stopping.

    def start_platform(self, *flags):
        self.platform = self._process(
            "platform",
            "standin_platform",
            [f"--listen={self.platform_address}", f"--control={self.platform_control}", *flags],
        )
        wait_until(
            lambda: call(self.platform_control, "/stats")[0] == 200, 10, "the platform starts"
        )

    def start_target(self, name, *flags):
        node = self.nodes[name]
        seed = 1 + list(self.nodes).index(name)
        node.target = self._process(
            f"{name}.target",
            "standin_target",
            [f"--listen={node.target_address}", f"--name={name}", f"--seed={seed}", *flags],
        )

    def start_daemon(self, name):
        node = self.nodes[name]
        settings = self.out / f"{name}.ini"
        settings.write_text(self.settings_text(node))
        node.daemon = self._process(f"{name}.daemon", "bulrushd", [f"--settings={settings}"])

    def settings_text(self, node):
        seeds = [other.peer for other in self.nodes.values() if other is not node][:6]
        up = node.upstream
        return "\n".join(
            [
                "[node]",
                f"name = {up.name}",
                f"service = {up.service}",
                f"region = {up.region}",
                f"data_centre = {up.data_centre}",
                f"rack = {up.data_centre}-r{up.name[-1]}",
                "[listen]",
                f"http = {node.http}",
                f"peer = {node.peer}",
                "[target]",
                f"address = {node.target_address}",
                "[platform]",
                f"addresses = {self.platform_address}",
                "[peers]",
                f"seeds = {', '.join(seeds)}",
                "",
            ]
        )

    def start(self, *target_flags, limit_s=60):
        """Starts everything, applies the configuration and waits until every key is owned."""
        self.target_flags = list(target_flags)
        self.start_platform()
        for name in self.nodes:
            self.start_target(name, *target_flags)
        for name in self.nodes:
            self.start_daemon(name)
        wait_until(self.all_answer, 20, "the processes answer")
        self.apply(self.deployment.folder)
        return self.wait_ready(limit_s)

    def stop(self):
        for process in self.loads:
            process.kill()
        for node in self.nodes.values():
            for process in (node.daemon, node.target):
                if process is not None:
                    process.kill()
        if self.platform is not None:
            self.platform.stop()

    def kill_instance(self, name):
        """Kills the process and its target, as the loss of a machine does."""
        self.nodes[name].daemon.kill()
        self.nodes[name].target.kill()

    def restart_targets(self, *flags):
        """Restarts all targets with other flags; the processes beside them keep running."""
        for name, node in self.nodes.items():
            node.target.kill()
            self.start_target(name, *flags)
        wait_until(
            lambda: all(call(node.target_address, "/-/health")[0] == 200
                        for node in self.nodes.values()),
            10, "the targets answer",
        )

    # Conditions.

    def live(self):
        return [node for node in self.nodes.values() if node.daemon and node.daemon.running()]

    def all_answer(self):
        for node in self.nodes.values():
            for process in (node.target, node.daemon):
                if not process.running():
                    raise FleetError(f"a process of {node.name} ended; see {process.log}")
        return all(node.status() is not None for node in self.live())

    def slice_counts(self):
        """Returns the number of slices of each keyed process. None until every process has a configuration and
        sees all live members, and all keyed ones report the same total and own at least one slice each."""
        live = self.live()
        keyed = self.deployment.keyed_service()
        slices = {}
        owned = set()
        for node in live:
            status = node.status()
            if status is None or status.get("config_version", 0) == 0:
                return None
            alive = {member["node"] for member in status["members"] if member.get("alive")}
            if len(alive | {node.name}) < len(live):
                return None
            if node.upstream.service != keyed:
                continue
            owned.add(status["owned_slices_of_service"])
            slices[node.name] = status["slices"]
        whole = owned == {sum(slices.values())} and min(slices.values()) > 0
        return slices if whole else None

    def wait_ready(self, limit_s=60):
        """Waits until every key has an owner and the assignment of slices has settled."""
        last = None
        since = time.monotonic()

        def settled():
            nonlocal last, since
            current = self.slice_counts()
            if current is None or current != last:
                last = current
                since = time.monotonic()
            return current is not None and time.monotonic() - since > SETTLED_S

        return wait_until(settled, limit_s, "every process is ready and every key owned")

    def warm_up(self, seconds):
        """Sends load to all services, so that the targets do not count as freshly started."""
        services = [f"{name}:{kind}:0.5" for name, kind in self.deployment.services.items()]
        flags = {"services": ",".join(services), "rate": 900, "duration_s": seconds, "seed": 7,
                 "write_share": 0}
        self.run_load("warm-up", flags)
        self.reset_targets()

    # Operators.

    def ctl(self, *arguments, check=True):
        """Runs bulrushctl and returns (exit code, output)."""
        nodes = ",".join(node.http for node in self.nodes.values())
        command = [
            self.programs / "bulrushctl",
            *arguments,
            f"--platform={self.platform_address}",
            f"--nodes={nodes}",
        ]
        completed = subprocess.run(
            [str(part) for part in command], capture_output=True, text=True, timeout=60, check=False
        )
        output = completed.stdout + completed.stderr
        if check and completed.returncode != 0:
            command_text = shlex.join(str(part) for part in command)
            raise FleetError(f"{command_text}: exit code {completed.returncode}\n{output}")
        return completed.returncode, output

    def apply(self, folder):
        self.ctl("apply", folder, "--author=measure")

    def take_out(self, data_centre):
        self.ctl("out", data_centre, "--author=measure")

    def bring_back(self, data_centre):
        self.ctl("back", data_centre, "--author=measure")

    def owner_of(self, key):
        service = self.deployment.keyed_service()
        path = f"/-/owner?service={service}&key={urllib.parse.quote(key)}"
        for node in self.live():
            answer = call_json(node.http, path)
            if answer and answer.get("owner"):
                return answer["owner"]
        return None

    def main_owner(self, keys):
        """Returns the node that owns the most keys of a load, and the number of these keys."""
        counts = {}
        for number in range(keys):
            owner = self.owner_of(f"key{number}")
            counts[owner] = counts.get(owner, 0) + 1
        counts.pop(None, None)
        if not counts:
            raise FleetError("no key of the load has an owner")
        name = max(counts, key=counts.get)
        return self.nodes[name], counts[name]

    # Faults.

    def platform_faults(self, **faults):
        status, text = call(self.platform_control, "/faults", "POST", json.dumps(faults))
        if status != 200:
            raise FleetError(f"the platform refuses faults {faults}: {status} {text}")

    def platform_stats(self):
        return call_json(self.platform_control, "/stats")

    def reset_targets(self):
        for node in self.nodes.values():
            if node.target is not None and node.target.running():
                call(node.target_address, "/-/reset", "POST", "")

    # Load.

    def start_load(self, name, flags, entries=None):
        """Starts an open-loop load; finish_load waits for its end and returns the report."""
        entries = entries or [node.http for node in self.live()]
        targets = [
            node.target_address
            for node in self.nodes.values()
            if node.target is not None and node.target.running()
        ]
        report = self.out / f"{name}.json"
        report.unlink(missing_ok=True)
        process = Process(
            [
                self.programs / "standin_load",
                f"--entries={','.join(entries)}",
                f"--targets={','.join(targets)}",
                f"--json={report}",
                *[f"--{flag}={value}" for flag, value in flags.items()],
            ],
            self.out / f"{name}.txt",
        )
        process.report = report
        process.start()
        self.loads.append(process)
        return process

    def finish_load(self, process, limit_s=120):
        process.child.wait(limit_s)
        self.loads.remove(process)
        if not process.report.exists():
            raise FleetError(f"the load wrote no report; see {process.log}")
        return json.loads(process.report.read_text())

    def run_load(self, name, flags, entries=None):
        return self.finish_load(self.start_load(name, flags, entries))

    def daemon_cpu_seconds(self):
        return {node.name: node.daemon.cpu_seconds() for node in self.live()}

"""Starts a deployment of the examples as plain processes on loopback and drives it.

Every process is a child of the caller and is ended by its process id. Logs, settings and reports go
to the output folder of the run.
"""

import configparser
import json
import os
import shlex
import signal
import subprocess
import time
import urllib.error
import urllib.parse
import urllib.request
from dataclasses import dataclass, field
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
POLL_INTERVAL_S = 0.05
HTTP_TIMEOUT_S = 3.0
STOP_LIMIT_S = 15.0
SLICES = 1024


class FleetError(Exception):
    """A process or an answer is not as the run needs it."""


def boot_milliseconds():
    """The present time on the clock that the processes use."""
    return time.clock_gettime(time.CLOCK_BOOTTIME) * 1000


def call(address, path, method="GET", body=None, timeout=HTTP_TIMEOUT_S):
    """Sends one request and returns (status, body); status 0 when there is no answer."""
    data = body.encode() if isinstance(body, str) else body
    request = urllib.request.Request(f"http://{address}{path}", data=data, method=method)
    try:
        with urllib.request.urlopen(request, timeout=timeout) as answer:
            return answer.status, answer.read().decode()
    except urllib.error.HTTPError as refusal:
        return refusal.code, refusal.read().decode()
    except (OSError, TimeoutError):
        return 0, ""


def call_json(address, path, method="GET", value=None):
    """The JSON of an answer with status 200, or None."""
    body = None if value is None else json.dumps(value)
    status, text = call(address, path, method, body)
    if status != 200:
        return None
    try:
        return json.loads(text)
    except ValueError:
        return None


def wait_until(condition, limit_s, what):
    """Polls until the condition holds and returns the seconds that it took."""
    begin = time.monotonic()
    while not condition():
        if time.monotonic() - begin > limit_s:
            raise FleetError(f"{what}: not within {limit_s} s")
        time.sleep(POLL_INTERVAL_S)
    return time.monotonic() - begin


class Process:
    """One child process with its log file."""

    def __init__(self, command, log):
        self.command = [str(part) for part in command]
        self.log = log
        self.child = None

    def start(self):
        with open(self.log, "ab") as log:
            self.child = subprocess.Popen(
                self.command, stdin=subprocess.DEVNULL, stdout=log, stderr=log
            )

    @property
    def pid(self):
        return self.child.pid

    def running(self):
        return self.child is not None and self.child.poll() is None

    def signal(self, number):
        if self.running():
            os.kill(self.pid, number)

    def freeze(self):
        self.signal(signal.SIGSTOP)

    def resume(self):
        self.signal(signal.SIGCONT)

    def kill(self):
        self.signal(signal.SIGKILL)
        if self.child is not None:
            self.child.wait()

    def stop(self):
        """Ends the process as planned and returns the seconds that it took."""
        begin = time.monotonic()
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGTERM)
        try:
            self.child.wait(STOP_LIMIT_S)
        except subprocess.TimeoutExpired:
            self.kill()
        return time.monotonic() - begin

    def cpu_seconds(self):
        """Processor time used so far; 0 when the process has ended."""
        try:
            text = Path(f"/proc/{self.pid}/stat").read_text()
        except OSError:
            return 0.0
        fields = text.rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def resident_megabytes(self):
        """Memory in use; 0 when the process has ended."""
        try:
            pages = int(Path(f"/proc/{self.pid}/statm").read_text().split()[1])
        except OSError:
            return 0.0
        return pages * os.sysconf("SC_PAGE_SIZE") / 1e6


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
                place = inventory[section]["data_centre"]
                deployment.upstreams.append(
                    Upstream(name, inventory[section]["service"], place, regions[place])
                )
        return deployment

    def of_kind(self, kind):
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
        self.apply(self.deployment.folder / "inventory.ini", self.deployment.folder / "rules.ini")
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
        """Ends target and process at once, as the loss of a machine does."""
        self.nodes[name].daemon.kill()
        self.nodes[name].target.kill()

    # Conditions.

    def live(self):
        return [node for node in self.nodes.values() if node.daemon and node.daemon.running()]

    def all_answer(self):
        return all(node.status() is not None for node in self.live())

    def ready(self):
        live = self.live()
        keyed = self.deployment.keyed_service()
        for node in live:
            status = node.status()
            if status is None or status.get("config_version", 0) == 0:
                return False
            alive = [member for member in status["members"] if member.get("alive")]
            if len({member["node"] for member in alive} | {node.name}) < len(live):
                return False
            if node.upstream.service == keyed and status["owned_slices_of_service"] < SLICES:
                return False
        return True

    def wait_ready(self, limit_s=60):
        return wait_until(self.ready, limit_s, "every process is ready and every key owned")

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
        done = subprocess.run(
            [str(part) for part in command], capture_output=True, text=True, timeout=60, check=False
        )
        output = done.stdout + done.stderr
        if check and done.returncode != 0:
            shown = shlex.join(str(part) for part in command)
            raise FleetError(f"{shown}: exit code {done.returncode}\n{output}")
        return done.returncode, output

    def apply(self, inventory, rules):
        self.ctl("apply", f"--inventory={inventory}", f"--rules={rules}", "--author=measure")

    def apply_out(self, *data_centres):
        """Takes data centres out by editing the rules; none brings all back."""
        text = (self.deployment.folder / "rules.ini").read_text()
        lines = [
            f"out = {', '.join(data_centres)}" if line.startswith("out =") else line
            for line in text.splitlines()
        ]
        rules = self.out / "rules.ini"
        rules.write_text("\n".join(lines) + "\n")
        self.apply(self.deployment.folder / "inventory.ini", rules)

    def owner_of(self, key):
        service = self.deployment.keyed_service()
        path = f"/-/owner?service={service}&key={urllib.parse.quote(key)}"
        for node in self.live():
            answer = call_json(node.http, path)
            if answer and answer.get("owner"):
                return answer["owner"]
        return None

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
        """Starts an open loop of requests; the report is read by finish_load."""
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

"""Stand-ins of the platform's store, of targets and of callers, and a launcher of bulrushway-node.

They follow PROTOCOL.md and behave soundly unless a case tells them otherwise. Everything runs in one
asyncio loop on loopback addresses; each machine of a deployment has an address of its own.
"""

import asyncio
import base64
import json
import os
import signal
import socket
import sys
import tempfile
import time
from urllib.parse import parse_qs, urlsplit

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(HERE)
PROGRAM = "target/bulrushway-node"
ID = "x-bulrushway-request-id"
SEAL = "x-bulrushway-server-seal"
# "A 2xx response acknowledges the heartbeat if it arrives within a second and is at most 4 KiB."
MAX_HEARTBEAT_ANSWER_BYTES = 4096
# Callers reuse connections that were idle for up to four fifths of `idle_timeout_s`.
MAX_IDLE_S = 0.8 * 15


def now():
    return time.monotonic()


async def read_message(reader):
    """Reads the head and body of an HTTP/1.1 message: (first line, headers, body); None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = b""
    try:
        if "content-length" in headers:
            body = await reader.readexactly(int(headers["content-length"]))
        elif headers.get("transfer-encoding", "").lower() == "chunked":
            while True:
                size = int((await reader.readline()).split(b";")[0], 16)
                chunk = await reader.readexactly(size + 2)
                if size == 0:
                    break
                body += chunk[:-2]
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return lines[0], headers, body


def answer(status, headers=None, body=b""):
    text = "HTTP/1.1 %d X\r\nContent-Length: %d\r\n" % (status, len(body))
    for name, value in (headers or {}).items():
        text += "%s: %s\r\n" % (name, value)
    return text.encode("latin-1") + b"\r\n" + body


class Server:
    """An HTTP/1.1 server that handles one request at a time on each connection."""

    def __init__(self):
        self.connections = set()
        self.server = None

    async def listen(self, ip, port=0):
        self.server = await asyncio.start_server(self.serve, ip, port, limit=1 << 20)
        return self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                reply = await self.handle(writer, *message)
                if reply is None:
                    break
                writer.write(reply)
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            self.connections.discard(writer)
            writer.close()


class Store(Server):
    """The platform's store: rows, transactions and feeds."""

    ANSWER_S = 0.004

    def __init__(self):
        super().__init__()
        self.rows = {}
        self.log = []
        self.version = 0
        self.changed = asyncio.Event()
        self.started = now()

    def put(self, table, key, value):
        self.version += 1
        self.set(table, key, value.encode())
        self.wake()

    def remove(self, table, key):
        self.version += 1
        self.drop(table, key)
        self.wake()

    def set(self, table, key, value):
        row = {"table": table, "part": "", "key": key, "ver": self.version,
               "value": base64.b64encode(value).decode()}
        self.rows[(table, key)] = row
        self.log.append(row)

    def drop(self, table, key):
        if self.rows.pop((table, key), None):
            self.log.append({"table": table, "part": "", "key": key, "ver": self.version,
                             "tombstone": True})

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def body(self, rows):
        fields = {"rows": rows, "has_more": False, "ver": self.version,
                  "now_s": round(now() - self.started + 1, 3)}
        return json.dumps(fields).encode()

    async def handle(self, writer, line, headers, body):
        await asyncio.sleep(self.ANSWER_S)
        method, target, _ = line.split(" ")
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        kind = {"Content-Type": "application/json"}
        if url.path == "/bulrushway/rows-get":
            rows = [row for (table, key), row in sorted(self.rows.items())
                    if table == query["table"] and key >= query.get("from", "")]
            return answer(200, kind, self.body(rows))
        if url.path == "/bulrushway/rows-feed":
            after, end = int(query["after"]), now() + int(query.get("wait_ms", 0)) / 1000
            while True:
                rows = [row for row in self.log
                        if row["table"] == query["table"] and row["ver"] > after]
                left = end - now()
                if rows or left <= 0:
                    return answer(200, kind, self.body(rows))
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        if url.path == "/bulrushway/rows-tx":
            change = json.loads(body)
            for row in change.get("expect", []):
                known = self.rows.get((row["table"], row["key"]))
                if (known["ver"] if known else 0) != row["ver"]:
                    current = [self.rows[(r["table"], r["key"])] for r in change["expect"]
                               if (r["table"], r["key"]) in self.rows]
                    return answer(412, kind, self.body(current))
            self.version += 1
            for row in change.get("writes", []):
                self.set(row["table"], row["key"], base64.b64decode(row["value"]))
            for row in change.get("deletes", []):
                self.drop(row["table"], row["key"])
            self.wake()
            return answer(200, kind, self.body([]))
        return answer(404)


class Target(Server):
    """A target: runs requests, keeps the keys that it is granted, and sends heartbeats."""

    def __init__(self, machine, work_s=0.1, slots=12):
        super().__init__()
        self.machine = machine
        self.id = "i-" + machine.name
        self.work_s = work_s
        self.slots = slots
        self.running = 0
        self.runs = []          # (time, request id, path, caller, body bytes)
        self.holds = {}         # (from, to) -> (fence, handover, until)
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.freed = []
        self.draining = False
        self.releases = 0       # calls that took keys back
        self.rejected = 0       # answers to heartbeats that do not count

    def seal(self, request_id):
        return "seal.%s.%s" % (self.id, request_id)

    def held(self, key):
        return any(first <= key <= last and now() < hold[2]
                   for (first, last), hold in self.holds.items())

    def order(self, path, headers, body):
        """Carries out a grant or a release that arrives as a call."""
        own = {"X-Bulrushway-Instance-Id": self.id}
        if headers.get("x-bulrushway-target-instance", self.id) != self.id:
            return answer(421, own)
        order = json.loads(body)
        keys, fence = (order["from"], order["target"]), order["fence"]
        if path.endswith("grant"):
            if any(hold[0] > fence for held, hold in self.holds.items()
                   if held[0] <= keys[1] and held[1] >= keys[0]):
                return answer(409, own)
            self.drop_keys(keys)
            self.holds[keys] = (fence, order.get("handover", ""), now() + order["hold_s"])
            return answer(200, own)
        self.drop_keys(keys)
        self.releases += 1
        return answer(200, dict(own, **{"X-Bulrushway-Handover": self.handover()}))

    def drop_keys(self, keys):
        """Forgets these keys, and keeps the rest of what is held."""
        for held in list(self.holds):
            if held[0] > keys[1] or held[1] < keys[0]:
                continue
            hold = self.holds.pop(held)
            if held[0] < keys[0]:
                self.holds[(held[0], keys[0] - 1)] = hold
            if held[1] > keys[1]:
                self.holds[(keys[1] + 1, held[1])] = hold

    def handover(self):
        return os.urandom(8).hex()

    async def handle(self, writer, line, headers, body):
        method, path, _ = line.split(" ")
        if method == "POST" and path in ("/bulrushway/grant", "/bulrushway/release"):
            return self.order(path, headers, body)
        request_id = headers.get(ID, "")
        own = {"X-Bulrushway-Request-Id": request_id, "X-Bulrushway-Instance-Id": self.id,
               "X-Bulrushway-Load": "%d,0,%d" % (self.running, self.slots)}
        not_run = dict(own, **{"X-Bulrushway-Not-Executed": "1"})
        if headers.get("x-bulrushway-target-instance", self.id) != self.id:
            return answer(421, not_run)
        key = headers.get("x-bulrushway-shard-key")
        if self.machine.keyed and (key is None or not self.held(int(key))):
            return answer(421, not_run)
        if self.running >= self.slots:
            return answer(503, not_run)
        self.running += 1
        self.runs.append((now(), request_id, path, headers.get("x-bulrushway-caller"), len(body)))
        await asyncio.sleep(self.work_s)
        self.running -= 1
        return answer(200, dict(own, **{"X-Bulrushway-Server-Seal": self.seal(request_id)}),
                      ("answer to %s" % request_id).encode())

    async def beat(self):
        """Sends one heartbeat and takes over the grant in its answer. Returns whether it was taken."""
        self.sequence += 1
        sent = now()
        expired = [keys for keys, hold in self.holds.items() if sent >= hold[2]]
        for keys in expired:
            del self.holds[keys]
        fields = {"service": self.machine.service, "address": self.machine.address("target"),
                  "zone": self.machine.zone, "version": "v1", "slots": self.slots,
                  "state": "draining" if self.draining else "ready",
                  "cold_left_s": 0, "seq": self.sequence, "born": self.born}
        if self.machine.keyed and not self.machine.by_calls:
            fields["holds"] = [[k[0], k[1], h[0]] for k, h in self.holds.items()]
            fields["freed"] = self.freed
        try:
            status, _, body = await asyncio.wait_for(
                call(self.machine.ip, self.machine.ports["heartbeats"], "PUT",
                     "/bulrushway/instances/" + self.id, {"Content-Type": "application/json"},
                     json.dumps(fields).encode()), 1)
        except (OSError, asyncio.TimeoutError):
            return False
        # An answer that is longer than this acknowledges nothing and grants nothing.
        if status != 200 or len(body) > MAX_HEARTBEAT_ANSWER_BYTES:
            self.rejected += 1
            return False
        self.freed = []
        reply = json.loads(body or b"{}")
        if "holds" in reply:
            kept = {(row[0], row[1]): (row[2], row[3], sent + reply["hold_s"])
                    for row in reply["holds"]}
            self.freed = [[k[0], k[1], os.urandom(8).hex()]
                          for k in self.holds if k not in kept]
            self.holds = kept
        return True

    def lose_power(self):
        """Ends the target and its connections."""
        self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()
        self.holds.clear()

    async def keep_beating(self, interval_s=0.4):
        while True:
            await self.beat()
            await asyncio.sleep(0.1 if self.freed else interval_s)


async def call(ip, port, method, path, headers, body=b""):
    """Sends one request over a new connection: (status, headers, body). OSError without an answer."""
    reader, writer = await asyncio.open_connection(ip, port, limit=1 << 20)
    try:
        writer.write(request_bytes(method, path, headers, body))
        await writer.drain()
        message = await read_message(reader)
        if message is None:
            raise ConnectionError("closed without an answer")
        return int(message[0].split(" ")[1]), message[1], message[2]
    finally:
        writer.close()


def request_bytes(method, path, headers, body=b""):
    text = "%s %s HTTP/1.1\r\n" % (method, path)
    for name, value in headers.items():
        text += "%s: %s\r\n" % (name, value)
    if body or method in ("POST", "PUT"):
        text += "Content-Length: %d\r\n" % len(body)
    return text.encode("latin-1") + b"\r\n" + body


class Caller:
    """A caller that keeps one connection to the process of its machine."""

    def __init__(self, machine, host="h.example"):
        self.machine = machine
        self.host = host
        self.stream = None
        self.used = 0.0

    async def send(self, method, path, request_id, timeout_s, key=None, body=b""):
        """Returns (status, headers, body), or a text that says how the connection ended."""
        headers = {"Host": self.host, "X-Bulrushway-Request-Id": request_id,
                   "X-Bulrushway-Request-Timeout": int(timeout_s * 1000)}
        if key is not None:
            headers["X-Bulrushway-Shard-Key"] = key
        if self.stream is not None and now() - self.used > MAX_IDLE_S:
            self.close()
        try:
            if self.stream is None:
                self.stream = await asyncio.open_connection(
                    self.machine.ip, self.machine.ports["callers"], limit=1 << 20)
            reader, writer = self.stream
            writer.write(request_bytes(method, path, headers, body))
            await writer.drain()
            message = await asyncio.wait_for(read_message(reader), timeout_s + 2)
        except asyncio.TimeoutError:
            message = "no answer"
        except OSError as problem:
            message = "connection failed: %s" % problem
        if message is None:
            message = "closed without an answer"
        if isinstance(message, str):
            self.close()
            return message
        self.used = now()
        if message[1].get("connection", "").lower() == "close":
            self.close()
        return int(message[0].split(" ")[1]), message[1], message[2]

    def close(self):
        if self.stream is not None:
            self.stream[1].close()
        self.stream = None


class Machine:
    """A machine: its target, its process and its settings."""

    NAMES = ("callers", "ready", "heartbeats", "target")

    def __init__(self, number, service, zone, region, keyed=False, by_calls=False, net=61):
        self.name = "sidecar-%s-%d" % (zone, number)
        self.ip = "127.%d.%d.%d" % (net, os.getpid() % 200 + 1, number)
        self.service, self.zone, self.region, self.keyed = service, zone, region, keyed
        self.by_calls = by_calls
        self.ports = {}
        self.process = None
        self.target = None
        self.starts = 0

    def address(self, what):
        return "%s:%d" % (self.ip, self.ports[what])

    def choose_ports(self):
        sockets = []
        for name in self.NAMES:
            sockets.append(socket.socket())
            sockets[-1].bind((self.ip, 0))
            self.ports[name] = sockets[-1].getsockname()[1]
        for each in sockets:
            each.close()
        # The processes find each other at the first of these, which is the same on all machines.
        self.ports["first"], self.ports["last"] = 7380, 7395

    def write_settings(self, folder, store, bounds):
        self.settings = os.path.join(folder, self.name + ".ini")
        self.log = os.path.join(folder, self.name + ".log")
        text = ("[node]\nname = %s\nip = %s\ndata_centre = %s\nregion = %s\nservice = %s\n"
                "target = %s\nheartbeat = 0.4 s\ngrants = %s\nfirst_start = true\n\n"
                "[listen]\ncallers = %s\nready = %s\nheartbeats = %s\nfirst_and_last_port = %d,%d\n\n"
                "[store]\naddress = %s\n\n[machine]\nlink_mbit_per_second = 1000.0\n\n[bounds]\n" %
                (self.name, self.ip, self.zone, self.region, self.service, self.address("target"),
                 "call" if self.by_calls else "heartbeat",
                 self.address("callers"), self.address("ready"), self.address("heartbeats"),
                 self.ports["first"], self.ports["last"], store))
        for name, value in bounds.items():
            text += "%s = %s\n" % (name, value)
        with open(self.settings, "w") as file:
            file.write(text)

    async def start(self):
        self.starts += 1
        environment = {"PATH": os.environ["PATH"], "BULRUSHWAY_BOOT": self.settings}
        with open(self.log, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                os.path.join(ROOT, PROGRAM), cwd=ROOT, env=environment, stdout=log, stderr=log)

    def signal(self, number):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def ready(self):
        try:
            status, _, _ = await asyncio.wait_for(
                call(self.ip, self.ports["ready"], "GET", "/bulrushway/ready", {"Host": "x"}), 1)
            return status == 200
        except (OSError, asyncio.TimeoutError):
            return False

    def memory_mb(self, field="VmRSS"):
        try:
            with open("/proc/%d/status" % self.process.pid) as file:
                for line in file:
                    if line.startswith(field + ":"):
                        return int(line.split()[1]) / 1024
        except OSError:
            pass
        return 0.0


# The figures of the page of the further deployment.
BOUNDS = {"drain_s": 2.5, "grace_s": 6, "config_s": 2.5, "evacuate_s": 5, "hold_max_s": 10,
          "retry_budget": 0.2, "cold_slack": 5, "stable_window_s": 3, "recover_s": 15}


def route(name, prefix, kind, service, timeout_s, **more):
    spec = {"host": "h.example", "prefix": prefix, "kind": kind, "timeout_s": timeout_s,
            "latency_target_s": 0.8, "priority": 1, "service": service, "attempts": 2,
            "allowed_regions": []}
    spec.update(more)
    return {"type": "routes", "metadata": {"name": name}, "spec": spec}


def service(name, **more):
    spec = {"health_path": "/health", "max_conns": 130, "warmup_s": 3.0, "cold_per_s": 14.0}
    spec.update(more)
    return {"type": "services", "metadata": {"name": name}, "spec": spec}


def configuration(version, resources):
    limits = {"type": "limits", "metadata": {},
              "spec": {"max_header_bytes": 16384, "max_body_bytes": 67108864,
                       "header_timeout_s": 3, "idle_timeout_s": 15}}
    return json.dumps({"version": "%08x" % version, "resources": resources + [limits]})


class Deployment:
    """A store and some machines; ends all that it started."""

    def __init__(self, machines, resources, work_s=0.1, net=61, bounds=None):
        self.machines = machines
        self.resources = resources
        self.work_s = work_s
        self.net = net
        self.bounds = dict(BOUNDS, **(bounds or {}))
        self.store = Store()
        self.tasks = []

    async def __aenter__(self):
        self.folder = tempfile.TemporaryDirectory(prefix="bulrushway-review-")
        self.store_ip = "127.%d.%d.250" % (self.net, os.getpid() % 200 + 1)
        self.store_port = await self.store.listen(self.store_ip)
        self.store.put("op", "config", configuration(1, self.resources))
        for machine in self.machines:
            machine.choose_ports()
            machine.target = Target(machine, self.work_s)
            await machine.target.listen(machine.ip, machine.ports["target"])
            machine.write_settings(self.folder.name, "%s:%d" % (self.store_ip, self.store_port),
                                   self.bounds)
            await machine.start()
            self.tasks.append(asyncio.create_task(machine.target.keep_beating()))
        return self

    async def wait_until_ready(self, limit_s=20):
        """Waits until all processes are ready and the keys of each divided service are held."""
        end = now() + limit_s
        while now() < end:
            ready = all([await machine.ready() for machine in self.machines])
            keyed = [machine for machine in self.machines if machine.keyed]
            held = all(any(machine.target.held(key) for machine in keyed)
                       for key in range(0, 65536, 4096)) if keyed else True
            if ready and held:
                await asyncio.sleep(3)
                return
            await asyncio.sleep(0.2)
        raise CannotRun("the deployment was not ready in time")

    async def __aexit__(self, *_):
        for task in self.tasks:
            task.cancel()
        for machine in self.machines:
            machine.signal(signal.SIGCONT)
            machine.signal(signal.SIGKILL)
        for machine in self.machines:
            if machine.process is not None:
                await machine.process.wait()
        self.folder.cleanup()


class CannotRun(Exception):
    pass


class Record:
    """Writes what was sent, answered and run to record.txt in the folder of the case."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.started = now()

    def write(self, text):
        self.file.write("%8.3f %s\n" % (now() - self.started, text))
        self.file.flush()


def run_case(folder, body):
    """Runs a case: exits with 0 if the rule held, 1 if it was broken, 2 if the case could not run."""
    record = Record(folder)
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def limited():
        return await asyncio.wait_for(body(record, trouble), 116)

    try:
        broken = asyncio.run(limited())
    except Exception as problem:  # anything else than a verdict
        record.write("the case could not run: %r" % problem)
        sys.exit(2)
    record.write("the rule was broken" if broken else "the rule held")
    sys.exit(1 if broken else 0)

"""Child processes and HTTP calls of a measurement.

Every process is a child of the caller and is ended by its process id.
"""

import json
import os
import signal
import subprocess
import time
import urllib.error
import urllib.request
from pathlib import Path

POLL_INTERVAL_S = 0.05
HTTP_TIMEOUT_S = 3.0
STOP_LIMIT_S = 15.0


class FleetError(Exception):
    """A process ended early, gave an unexpected answer, or missed a time limit."""


def boot_milliseconds():
    """Milliseconds on CLOCK_BOOTTIME, the clock that the measured processes use."""
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
    """Sends one request and returns the JSON of an answer with status 200, or None."""
    body = None if value is None else json.dumps(value)
    status, text = call(address, path, method, body)
    if status != 200:
        return None
    try:
        return json.loads(text)
    except ValueError:
        return None


def wait_until(condition, limit_s, awaited):
    """Polls until the condition holds and returns the seconds that it took."""
    start_time = time.monotonic()
    while not condition():
        if time.monotonic() - start_time > limit_s:
            raise FleetError(f"{awaited}: not within {limit_s} s")
        time.sleep(POLL_INTERVAL_S)
    return time.monotonic() - start_time


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
        """Ends the process by SIGTERM, after STOP_LIMIT_S by SIGKILL; returns the seconds that this took."""
        start_time = time.monotonic()
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGTERM)
        try:
            self.child.wait(STOP_LIMIT_S)
        except subprocess.TimeoutExpired:
            self.kill()
        return time.monotonic() - start_time

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

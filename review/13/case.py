"""A request that crashes servers is refused after two crashes. Then the processes are stopped and
started in turn, and the same request comes again."""

import asyncio
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from standins3 import Fleet, now, run  # noqa: E402

SERVER_BACK_S = 1.5
STABLE_WINDOW_S = 3.0
MAX_RETRIES = 3
BODY = b"registration 4711"

ROUTES = {"inscripcion": {"host": "shop.example", "prefix": "/inscripcion/", "kind": "unsafe",
                          "service": "corredores", "timeout_s": 2, "latency_target_s": 0.5,
                          "priority": 1, "attempts": 2}}


async def main(trouble, folder):
    machines = [{"name": "sidecar-%s-%d" % (zone, number), "zone": zone, "region": "lima",
                 "service": "corredores"} for zone in ("lima-a", "lima-b") for number in (1, 2)]
    fleet = Fleet(folder, machines, ROUTES, {"corredores": {}})
    names = list(fleet.machines)
    started = {}
    crashes = []

    async def crash(target, request):
        if not request["target"].startswith("/inscripcion/4711"):
            return None
        gate = target.machine["name"]
        crashes.append({"at": now(), "in_touch": now() - started[gate] > STABLE_WINDOW_S})
        target.crash()

        def back():
            asyncio.ensure_future(target.start())
        asyncio.get_running_loop().call_later(SERVER_BACK_S, back)
        return 500, {}, b""

    async def send(name):
        status, _, _, _ = await fleet.request(name, "POST", "/inscripcion/4711", body=BODY)
        return status

    try:
        if not await fleet.start():
            fleet.record.verdict("the deployment did not start")
            return 2
        for name in names:
            fleet.targets[name].on_run = crash
            started[name] = -STABLE_WINDOW_S
        await asyncio.sleep(STABLE_WINDOW_S)
        # Until every machine refuses it.
        for round_number in range(8):
            await send(names[round_number % len(names)])
            await asyncio.sleep(2.2)
        for name in names:
            if trouble:
                fleet.signal(name, signal.SIGTERM)
                if not await fleet.wait_for_end(name, 7):
                    fleet.record.verdict("the process of %s did not stop" % name)
                    return 2
                fleet.start_process(name)
                started[name] = now()
            else:
                await asyncio.sleep(2.6)
            await asyncio.sleep(STABLE_WINDOW_S + 1)
            for entry in names:
                # A machine out of touch sends nothing that counts.
                await send(entry)
                await asyncio.sleep(1.0)
        third = crashes[2]["at"] if len(crashes) > 2 else None
        late = [c for c in crashes[3:] if c["in_touch"] and c["at"] > third + STABLE_WINDOW_S]
        fleet.record.verdict(
            "the request crashed servers %d times; %d times later than stable_window_s after the "
            "third crash, from machines in touch (allowed: %d)"
            % (len(crashes), len(late), MAX_RETRIES))
        return 1 if len(late) > MAX_RETRIES else 0
    finally:
        fleet.stop()


run(main, FOLDER)

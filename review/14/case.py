"""A server says that it leaves and is acknowledged. The process beside it is killed and started again,
and a heartbeat that the server had sent before arrives late."""

import asyncio
import json
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from standins3 import Fleet, now, run  # noqa: E402

DRAIN_S = 2.5
STABLE_WINDOW_S = 3.0
# The server stays this long after the acknowledgement, and exits then.
STAY_S = 12.0
# How late the heartbeat is.
LATE_S = 2.0
REQUESTS_PER_S = 40

ROUTES = {"inscripcion": {"host": "shop.example", "prefix": "/inscripcion/", "kind": "unsafe",
                          "service": "corredores", "timeout_s": 2, "latency_target_s": 0.5,
                          "priority": 1, "attempts": 2}}


async def main(trouble, folder):
    machines = [{"name": "sidecar-%s-%d" % (zone, number), "zone": zone, "region": "lima",
                 "service": "corredores"} for zone in ("lima-a", "lima-b") for number in (1, 2)]
    fleet = Fleet(folder, machines, ROUTES, {"corredores": {}})
    names = list(fleet.machines)
    answers = {}
    state = {"load": True}

    async def send(name):
        status, _, _, _ = await fleet.request(name, "POST", "/inscripcion/x", body=b"x" * 200)
        answers[status] = answers.get(status, 0) + 1

    async def load():
        sent = 0
        begin = now()
        pending = []
        while state["load"]:
            name = names[sent % len(names)]
            # Clients do not use a machine whose process is down.
            if fleet.processes[name].poll() is None:
                pending.append(asyncio.ensure_future(send(name)))
            sent += 1
            await asyncio.sleep(max(0, begin + sent / REQUESTS_PER_S - now()))
        await asyncio.gather(*pending)

    try:
        if not await fleet.start():
            fleet.record.verdict("the deployment did not start")
            return 2
        await asyncio.sleep(STABLE_WINDOW_S)
        leaving = fleet.targets[names[0]]
        for target in fleet.targets.values():
            target.work_s = 0.15
        clients = asyncio.ensure_future(load())
        await asyncio.sleep(3.0)
        # A heartbeat on its way; the server sends no further ones, since it leaves.
        late = json.dumps(leaving.beat()).encode()
        sent_at = now()
        leaving.beats.cancel()
        fleet.record("server %s sends a heartbeat, seq %d, that arrives late"
                     % (leaving.id, leaving.seq))
        status, _, _ = await leaving.call_control("DELETE")
        acknowledged = now()
        fleet.record("server %s sends DELETE and gets %s" % (leaving.id, status))
        if status != 200:
            fleet.record.verdict("the leave was not acknowledged")
            return 2
        started = -STABLE_WINDOW_S
        if trouble:
            fleet.signal(names[0], signal.SIGKILL)
            await fleet.wait_for_end(names[0], 5)
            await asyncio.sleep(0.5)
            fleet.start_process(names[0])
            started = now()
        await asyncio.sleep(max(0, sent_at + LATE_S - now()))
        status, _, _ = await leaving.call_control("PUT", late)
        fleet.record("the late heartbeat of server %s arrives and gets %s" % (leaving.id, status))
        await asyncio.sleep(max(0, acknowledged + STAY_S - now()))
        lost = leaving.running
        leaving.crash()
        fleet.record("server %s exits; it was running %d requests" % (leaving.id, lost))
        await asyncio.sleep(1.0)
        state["load"] = False
        await clients
        late_runs = [each for each in leaving.all_runs
                     if each["at"] > max(acknowledged + DRAIN_S, started + STABLE_WINDOW_S)]
        fleet.record.verdict(
            "answers %s; %d requests reached the server later than drain_s after its leave was "
            "acknowledged, from a machine in touch; the first after %.1f s; %d ran when it exited"
            % (answers, len(late_runs),
               late_runs[0]["at"] - acknowledged if late_runs else 0, lost))
        return 1 if late_runs else 0
    finally:
        fleet.stop()


run(main, FOLDER)

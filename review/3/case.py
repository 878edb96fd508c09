"""A target that leaves answers the call that takes its keys back with one wrong byte. The process that
is to own the keys next ends itself, and again whenever it is started: requests of its callers, which
run at sound targets, end without an answer."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
from standins import Caller, Deployment, Machine, SEAL, now, route, run_case, service  # noqa: E402

CALLERS = 12
WORK_S = 0.4
KEYED_CALLERS = 6
RESTART_S = 0.3
BEFORE_S, AFTER_S = 6, 12
ALLOWED_LOSSES = 3       # LOST: "more than three times"

RESOURCES = [route("stock", "/stock/", "safe", "catalogo", 1.5),
             route("booking", "/booking/", "safe", "reservas", 1.5),
             service("catalogo", sharded=True, grants="call"), service("reservas")]


async def restart(machine, record, ends):
    """The platform: starts a process again that has ended."""
    while True:
        await machine.process.wait()
        ends.append(machine.process.returncode)
        record.write("platform: the process of %s ended by itself with %d" %
                     (machine.name, machine.process.returncode))
        await asyncio.sleep(RESTART_S)
        await machine.start()


async def call_in_turn(machine, path, number, outcomes, until, keys=None):
    caller = Caller(machine)
    await asyncio.sleep(WORK_S * number / CALLERS)
    count = 0
    while now() < until:
        count += 1
        request_id = "%s-%d-%d" % (path[1:-2], number, count)
        kept = caller.stream is not None
        key = None if keys is None else keys[count % len(keys)]
        outcome = await caller.send("GET", path, request_id, 1.5, key=key)
        outcomes.append((request_id, kept, outcome))
        if isinstance(outcome, str) or outcome[0] != 200:
            await asyncio.sleep(0.3)
    caller.close()


async def case(record, trouble):
    machines = [Machine(1, "catalogo", "norte-a", "norte", keyed=True, by_calls=True),
                Machine(2, "catalogo", "norte-b", "norte", keyed=True, by_calls=True),
                Machine(3, "reservas", "norte-a", "norte"),
                Machine(4, "reservas", "norte-b", "norte")]
    async with Deployment(machines, RESOURCES, work_s=WORK_S) as fleet:
        await fleet.wait_until_ready()
        leaving, entry = machines[0], machines[1]
        leaving.target.work_s = 0.05
        ends = []
        platform = asyncio.create_task(restart(entry, record, ends))
        until = now() + BEFORE_S + AFTER_S
        bookings, stocks = [], []
        keys = [key for key in range(0, 65536, 1024) if leaving.target.held(key)]
        callers = [asyncio.create_task(call_in_turn(entry, "/booking/1", i, bookings, until))
                   for i in range(CALLERS)]
        callers += [asyncio.create_task(call_in_turn(machines[2], "/stock/1", i, stocks, until, keys))
                    for i in range(KEYED_CALLERS)]
        await asyncio.sleep(BEFORE_S)

        spoiled = []

        def handover():
            text = os.urandom(8).hex()
            if trouble and not spoiled:
                text = text[:13] + "\xff" + text[14:]
                spoiled.append(text)
            return text

        leaving.target.handover = handover
        leaving.target.draining = True
        record.write("the target of %s says that it leaves" % leaving.name)
        await asyncio.gather(*callers)
        platform.cancel()

        record.write("%d of the %d answers that this target gave had a wrong byte: handover %r" %
                     (len(spoiled), len(leaving.target.runs) + leaving.target.releases, spoiled))
        ran = {run[1] for machine in machines for run in machine.target.runs}
        answered = [end for _, _, end in bookings if not isinstance(end, str)]
        signed = [end for end in answered if end[0] == 200 and SEAL in end[1]]
        record.write("requests taken by %s: %d, answered %d, by a target %d" %
                     (entry.name, len(bookings), len(answered), len(signed)))
        served = [end for _, _, end in stocks if not isinstance(end, str) and end[0] == 200]
        record.write("keyed requests taken by %s: %d, served %d" %
                     (machines[2].name, len(stocks), len(served)))
        lost = [(name, end) for name, kept, end in bookings
                if isinstance(end, str) and kept and name in ran]
        for name, end in lost:
            record.write("lost: %s was sent on a kept connection, ran at a target, and ended: %s" %
                         (name, end))
        with open(entry.log, errors="replace") as log:
            for line in log:
                if "terminate" in line or "what()" in line:
                    record.write("its output: " + line.strip())
        record.write("the process ended by itself %d times; requests lost: %d" %
                     (len(ends), len(lost)))
        return len(lost) > ALLOWED_LOSSES


run_case(HERE, case)

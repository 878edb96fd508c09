"""The machine that owns a key loses power. A request for the key whose route is bound to one region is
then sent, with its body, to a machine in another region, which is to pass it on."""

import asyncio
import os
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
from standins import Caller, Deployment, Machine, now, route, run_case, service  # noqa: E402

HOME = "lima"
BODY_BYTES = 8 << 20
LOSS_S = 3.5             # `power leader` of the site file
PAUSE_S = 0.4
# A process takes some hundred kilobytes for its connections in these seconds, and a body far more.
BODY_SHARE_SEEN = 0.5

RESOURCES = [route("times", "/times/", "unsafe", "cronometraje", 2.0, allowed_regions=[HOME]),
             route("look", "/look/", "safe", "corredores", 1.5),
             service("cronometraje", sharded=True), service("corredores")]


async def case(record, trouble):
    machines = [Machine(1, "cronometraje", "lima-a", "lima", keyed=True),
                Machine(2, "cronometraje", "lima-b", "lima", keyed=True),
                Machine(3, "corredores", "arequipa-a", "arequipa"),
                Machine(4, "corredores", "cusco-a", "cusco")]
    async with Deployment(machines, RESOURCES) as fleet:
        await fleet.wait_until_ready()
        entry, owner, outside = machines[0], machines[1], machines[2:]
        key = next(key for key in range(0, 65536, 256) if owner.target.held(key))
        record.write("route bound to %s; key %d is held beside %s" % (HOME, key, owner.name))
        memory = {machine.name: machine.memory_mb("VmHWM") for machine in outside}
        if trouble:
            record.write("%s loses power for %.1f s" % (owner.name, LOSS_S))
            owner.signal(signal.SIGKILL)
            owner.target.lose_power()
        end = now() + LOSS_S
        count = 0
        while now() < end:
            count += 1
            request_id = "time-%d" % count
            outcome = await Caller(entry).send("POST", "/times/1", request_id, 2.0, key=key,
                                               body=os.urandom(1 << 16) * (BODY_BYTES >> 16))
            record.write("caller at %s (%s): %s with %d bytes -> %s" % (
                entry.name, entry.region, request_id, BODY_BYTES,
                outcome if isinstance(outcome, str) else outcome[0]))
            await asyncio.sleep(PAUSE_S)
        sent_out = False
        for machine in outside:
            grown = machine.memory_mb("VmHWM") - memory[machine.name]
            record.write("%s (%s): peak memory grew by %.1f MB" % (
                machine.name, machine.region, grown))
            with open(machine.log) as log:
                for line in log:
                    if "event=relay_refused" in line:
                        record.write("its log: " + line.strip())
            sent_out = sent_out or grown * 1024 * 1024 > BODY_SHARE_SEEN * BODY_BYTES
        ran = [(machine.name, run[1]) for machine in machines for run in machine.target.runs]
        record.write("runs: %s" % ran)
        return sent_out


run_case(HERE, case)

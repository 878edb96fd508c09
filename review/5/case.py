"""A target spoils one byte of the status line of some answers. The callers get a status line that is
none."""

import asyncio
import os
import re
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
from standins import Deployment, Machine, now, request_bytes, route, run_case, service  # noqa: E402

REQUESTS = 200
SPOILED_EVERY = 40       # 0.025 of the answers of the target
STATUS_LINE = re.compile(rb"HTTP/1\.1 [1-5][0-9][0-9] [^\r\n]*\r\n")

RESOURCES = [route("look", "/look/", "safe", "corredores", 1.5),
             route("book", "/book/", "unsafe", "corredores", 1.5), service("corredores")]


async def exchange(machine, method, path, request_id):
    """Returns all that the process sends for a request, to the end of the body or the connection."""
    reader, writer = await asyncio.open_connection(machine.ip, machine.ports["callers"])
    try:
        writer.write(request_bytes(method, path, {
            "Host": "h.example", "X-Bulrushway-Request-Id": request_id,
            "X-Bulrushway-Request-Timeout": 1500, "Connection": "close"}))
        return await asyncio.wait_for(reader.read(1 << 16), 4)
    finally:
        writer.close()


async def case(record, trouble):
    machines = [Machine(1, "corredores", "lima-a", "lima"), Machine(2, "corredores", "lima-b", "lima")]
    async with Deployment(machines, RESOURCES, work_s=0.02) as fleet:
        await fleet.wait_until_ready()
        faulty = machines[1].target
        sound = faulty.handle
        counted, spoiled = [], []

        async def handle(writer, line, headers, body):
            reply = await sound(writer, line, headers, body)
            if b"HTTP/1.1 200" not in reply:
                return reply
            counted.append(headers["x-bulrushway-request-id"])
            if trouble and len(counted) % SPOILED_EVERY == 0:
                spoiled.append(counted[-1])
                reply = reply.replace(b"HTTP/1.1 200", b"HTTP/1.1 000", 1)
            return reply

        faulty.handle = handle
        broken = 0
        for count in range(REQUESTS):
            method, path = (("GET", "/look/1"), ("POST", "/book/1"))[count % 2]
            request_id = "r-%d" % count
            got = await exchange(machines[1], method, path, request_id)
            if request_id in spoiled:
                record.write("the target answers %s %s with the status 000" % (method, request_id))
                record.write("the caller gets %r" % got[:200])
            if not STATUS_LINE.match(got):
                broken += 1
        record.write("%d requests, %d answers of the target, %d of them spoiled" %
                     (REQUESTS, len(counted), len(spoiled)))
        record.write("answers to callers that are none: %d" % broken)
        return broken > 0


run_case(HERE, case)

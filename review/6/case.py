"""An upstream that takes its keys by calls crashes and is back under its id within half a second,
before its process has heard of it: the router sends it the grants of its former life, and then
gives the same keys to others while it holds them."""

import asyncio
import json
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from standins2 import BROKEN, COULD_NOT_RUN, HEARTBEAT_S, HELD, ask, run_case, upstream

PLACES = [("norte-a", "norte"), ("norte-b", "norte"), ("centro-a", "centro"),
          ("centro-b", "centro"), ("sur-a", "sur"), ("sur-b", "sur")]
# The router renews a grant after this time.
RENEWAL_S = 2.0
# The upstream is down for this long, and its first heartbeat takes this long to arrive.
DOWN_S = 0.45
FIRST_HEARTBEAT_LATE_S = 2.5
# Deadline of a client's request that finds the upstream down.
DEADLINE_MS = 400
# OWNER: two upstreams hold the same keys for longer than this.
LONGEST_SHARED_S = 0.5

CONFIGURATION = {
    "version": "00000007",
    "resources": [
        {"type": "routes", "metadata": {"name": "stock"},
         "spec": {"host": "stock.example", "prefix": "/stock/", "kind": "safe", "timeout_s": 1.5,
                  "latency_target_s": 0.6, "priority": 1, "service": "catalogo", "attempts": 2}},
        {"type": "services", "metadata": {"name": "catalogo"},
         "spec": {"health_path": "/health", "max_conns": 130, "sharded": True}},
        {"type": "limits", "metadata": {},
         "spec": {"max_header_bytes": 16384, "max_body_bytes": 1000000, "header_timeout_s": 5,
                  "idle_timeout_s": 20}}]}


async def request(system, entry, key, identity):
    headers = [("Host", "stock.example"), ("X-Bulrushway-Request-Id", identity),
               ("X-Bulrushway-Request-Timeout", str(DEADLINE_MS)),
               ("X-Bulrushway-Shard-Key", str(key))]
    system.record.write(f"sent: {identity} at {entry.name}, key {key}")
    try:
        status, _ = await asyncio.wait_for(
            ask(entry.ip, entry.outbound, "GET", "/stock/x", headers), DEADLINE_MS / 1000)
    except (OSError, EOFError, asyncio.TimeoutError) as problem:
        status = type(problem).__name__
    system.record.write(f"answered: {identity}: {status}")


def beat_before_renewal(each):
    """When a heartbeat is sent 0.6 to 0.75 s before the next renewal; None if none is."""
    renewal = each.last_grant + RENEWAL_S
    beats = [each.last_beat + HEARTBEAT_S * n for n in range(4)]
    return next((beat for beat in beats if 0.6 <= renewal - beat <= 0.75), None)


async def main(system, trouble):
    machines = [await system.add("sidecar-" + zone + "-1", zone, region, "catalogo", grants="call")
                for zone, region in PLACES]
    upstreams = [upstream(each, "i-" + each.zone, system.record, keyed=True, by_calls=True)
                 for each in machines]
    system.store.put("op", "config", json.dumps(CONFIGURATION))
    for each in upstreams:
        await each.start()
    for each in machines:
        await each.start()
    if not await system.until(system.all_ready, 15):
        return COULD_NOT_RUN
    if not await system.until(lambda: all(each.grants for each in upstreams), 20):
        return COULD_NOT_RUN
    await asyncio.sleep(3)

    first = upstreams[1]
    crash_at = asyncio.get_running_loop().create_future()

    def closes_after_grant():
        beat = beat_before_renewal(first)
        if beat is None or crash_at.done():
            return False
        crash_at.set_result(beat + 0.05)
        return trouble

    first.closes_after_grant = closes_after_grant
    await asyncio.wait_for(crash_at, 60)
    await asyncio.sleep(crash_at.result() - time.monotonic())
    held = [row[:3] for row in first.grants]
    highest_fence = max(fence for _, _, fence in held)
    key = held[0][0]
    system.record.write(f"{first.id} (born {first.born}) holds {held}")
    second = first
    if trouble:
        await first.crash()
        system.record.write(f"crash: {first.id} (born {first.born}) is down")
    asking = asyncio.create_task(request(system, machines[0], key, "9c41d07be2a35f68"))
    await asyncio.sleep(DOWN_S)
    if trouble:
        second = upstream(machines[1], first.id, system.record, keyed=True, by_calls=True)
        second.beat_delay = FIRST_HEARTBEAT_LATE_S
        await second.start()
        system.record.write(f"start: {second.id} (born {second.born}) is up")
    await asking

    present = [second if each is first else each for each in upstreams]
    shared_s = 0
    now = time.monotonic()
    end = now + 7
    while now < end:
        await asyncio.sleep(0.01)
        before, now = now, time.monotonic()
        if sum(1 for each in present if each.holds(key)) > 1:
            shared_s += now - before
    stale = [row for row in second.seen if trouble and row[2] <= highest_fence]
    system.record.write(f"key {key} was held by two upstreams for {shared_s:.2f} s")
    system.record.write(f"grants to the new life under fences up to {highest_fence}, which its "
                        f"former life had: {stale}")
    return BROKEN if shared_s > LONGEST_SHARED_S or stale else HELD


run_case(main, trouble=os.environ.get("TROUBLE", "1") != "0")

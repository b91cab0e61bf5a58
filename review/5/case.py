"""An old claim names a server that has fallen behind, and the next change of primary prefers it."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "bed-2"))
import bed  # noqa: E402

FIRST = bed.TROUBLE == "1"
SECOND = bed.TROUBLE != "0"


def named_successor(store):
    rows = store.get("flamingopost-claims").values()
    return next((row["order"]["server"] for row in rows if row.get("order")), None)


async def play(run):
    await run.start(hosts=7, host_zones="cccaabd", store_zone="zone-c", client_zone="c", clients=10, pause=0.01,
                    sync=1, fencing=True, promote_s=0.3)
    primary, *replicas = run.group.servers
    await run.until_serving(20, 200)

    named = replicas[-1]
    if FIRST:
        bed.record("=== the primary is dark for 2 s, and the platform's call answers 503")
        run.orders.mode = "down"
        primary.set_dark(True)
        dark_until = bed.now() + 2.0
        while not named_successor(run.store) or not run.orders.calls:
            if bed.now() > dark_until:
                raise RuntimeError("no host has ordered a successor")
            await asyncio.sleep(0.01)
        named = next(s for s in replicas if s.id == named_successor(run.store))
        await asyncio.sleep(0.1)
        bed.record("=== all processes are killed; the claim names", named.id)
        run.kill_hosts()
        await asyncio.sleep(max(0.0, dark_until - bed.now()))
        primary.set_dark(False)
        run.orders.mode = "up"
        await asyncio.sleep(0.3)
        run.start_hosts()
        await run.until_ready(20)
    await run.until_serving(20, 200)
    await asyncio.sleep(5)
    if run.group.promotions:
        raise RuntimeError("the first change took place after all")

    other = next(s for s in replicas if s is not named)
    if SECOND:
        bed.record("===", named.id, "receives nothing for 4 s; the primary is lost meanwhile")
        run.group.set_deaf(named, True)
        await asyncio.sleep(2)
        primary.crash()
        await asyncio.sleep(2)
        run.group.set_deaf(named, False)
        bed.record("at the loss of the primary", named.id, "has", named.position(True), "and",
                   other.id, "has", other.position(True))
    end = bed.now() + 30
    while bed.now() < end and (SECOND and not run.group.promotions):
        await asyncio.sleep(0.1)
    await asyncio.sleep(3)

    if not SECOND:
        logs = [entry[2] for entry in primary.log]
        lost = [ident for ident in run.acknowledged if ident not in logs]
    elif not run.group.promotions:
        print("no server was promoted within 30 s")
        return 2
    else:
        at, server, term, log = run.group.promotions[0]
        kept = {entry[2] for entry in log}
        lost = [ident for ident, acked in run.acknowledged.items() if acked < at and ident not in kept]
        print(f"{server} was promoted to term {term} with {len(log)} commits; "
              f"{other.id} was not behind, {named.id} was named by the old claim")
    print(f"{len(run.acknowledged)} writes acknowledged, {len(lost)} of them missing: {lost[:5]}")
    bed.record("missing acknowledged writes", len(lost), *lost)
    return 1 if lost else 0


bed.main(play)

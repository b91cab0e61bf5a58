"""A successor that rightly lacks the end of the log is taken for one that has lost its log.

The replicas receive nothing for a second while the primary goes on, then the primary crashes, and
comes back two seconds later. No client writes after the crash; reads go on. With TROUBLE=0 the
clients do the same, and all servers are well.
"""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
import testbed
from testbed import Client, now

TROUBLE = os.environ.get("TROUBLE", "1") != "0"

# `lease_ms` of the rule ONE, as the users' bench prints it on this deployment.
LEASE_S = 3.0

# `stable_ms`: orders count only this long after the last disturbance, when all machines are in touch
# even if a server's crash counts as a reset of their connections.
STABLE_S = 4.0


async def repeat(bed, host, text, pause, stop):
    client = Client(bed, host, "bookings")
    number = 0
    while not stop.is_set():
        number += 1
        await client.run(text % (host.name, number) if "%" in text else text)
        await asyncio.sleep(pause)
    client.close()


async def play(bed):
    group, record = bed.group, bed.record
    reading, writing = asyncio.Event(), asyncio.Event()
    readers = [asyncio.create_task(repeat(bed, it, "FETCH a1", 0.05, reading)) for it in bed.hosts]
    writers = [
        asyncio.create_task(repeat(bed, it, "STORE a1 %s-%d", 0.05, writing)) for it in bed.hosts
    ]
    # Past `stable_ms` after the start of the machines.
    await asyncio.sleep(6)
    if TROUBLE:
        group.servers["s2"].deaf = group.servers["s3"].deaf = True
        record.say("s2 and s3 receive nothing for a second")
    await asyncio.sleep(1)
    writing.set()
    await asyncio.gather(*writers)
    record.say("the clients have written what they had to write")
    if TROUBLE:
        group.servers["s1"].end("has crashed")
        group.servers["s2"].deaf = group.servers["s3"].deaf = False
    await asyncio.sleep(2)
    if TROUBLE:
        await group.servers["s1"].restart()
    calm_from = now() + STABLE_S
    await asyncio.sleep(25)
    reading.set()
    await asyncio.gather(*readers)
    return judge(bed, calm_from)


def judge(bed, calm_from):
    """ONE: two holders take turns with orders for the same service inside `lease_ms`. All machines are
    in touch: only servers were disturbed."""
    record = bed.record
    taken = [it for it in bed.orders.taken if it[5] == 200 and it[0] >= calm_from]
    turns = [
        (a, b, c)
        for i, a in enumerate(taken)
        for j, b in enumerate(taken[i + 1 :], i + 1)
        for c in taken[j + 1 :]
        if a[3] == c[3] != b[3] and c[0] - a[0] < LEASE_S
    ]
    for at, service, server, holder, token, _ in turns[0] if turns else ():
        record.say(
            "ONE: at %.3f s %s orders %s to lead %s, token %d"
            % (at - record.start, holder, server, service, token)
        )
    ended = bed.ended()
    record.say(
        "%d orders by %d holders in touch, %d times two of them in turn inside %.0f ms, "
        "processes that ended: %s"
        % (len(taken), len({it[3] for it in taken}), len(turns), LEASE_S * 1000, ended or "none")
    )
    # A process that ended by itself breaks another rule, so the run tells nothing.
    return 1 if turns else 2 if ended else 0


testbed.main(play, HERE, ["milano", "torino", "novara"], promote_s=0.3, leads_on=True, fencing=False)

"""A hand-over loses commits of a service that has `sync_replicas`.

The primary is about to leave. When the order for its successor arrives, that replica receives nothing
for a second. With TROUBLE=0 the primary leaves all the same, and the replica goes on receiving.
"""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
import testbed
from testbed import Client

TROUBLE = os.environ.get("TROUBLE", "1") != "0"


async def repeat(bed, host, text, pause, stop):
    client = Client(bed, host, "bookings")
    number = 0
    while not stop.is_set():
        number += 1
        await client.run(text % (host.name, number))
        await asyncio.sleep(pause)
    client.close()


async def play(bed):
    group, record = bed.group, bed.record
    stop = asyncio.Event()
    lost = []

    def promoted(server):
        has = set(server.log)
        for entry in group.entries.values():
            if entry.acknowledged is not None and entry not in has:
                lost.append((server, entry))

    def ordered(server):
        if TROUBLE and not server.deaf:
            server.deaf = True
            record.say("%s receives nothing for a second" % server.name)
            asyncio.get_running_loop().call_later(1.0, hear, server)

    def hear(server):
        server.deaf = False

    group.on_promote = promoted
    bed.orders.on_order = ordered
    tasks = [asyncio.create_task(repeat(bed, host, "STORE a1 %s-%d", 0.02, stop)) for host in bed.hosts]
    await asyncio.sleep(6)
    for _ in range(2):
        old = group.primary()
        old.draining = True
        old.register()
        record.say("%s is draining" % old.name)
        await asyncio.sleep(7)
        old.end("has drained and ends")
        # Its log goes to a new server at its address.
        await old.restart()
        await asyncio.sleep(3)
    stop.set()
    await asyncio.gather(*tasks)
    kept = set(group.primary().log)
    gone = [(server, entry) for server, entry in lost if entry not in kept]
    for server, entry in gone[:20]:
        record.say(
            "LOST: commit %r of %s, acknowledged at %.4f s, is not in the log of %s, which was promoted"
            % (entry, entry.query, entry.acknowledged - record.start, server.name)
        )
    ended = bed.ended()
    record.say(
        "%d commits acknowledged, %d lost, processes that ended: %s"
        % (
            len([it for it in group.entries.values() if it.acknowledged is not None]),
            len(gone),
            ended or "none",
        )
    )
    # A process that ended by itself breaks another rule, so the run tells nothing.
    return 1 if gone else 2 if ended else 0


testbed.main(
    play,
    HERE,
    ["milano", "torino", "novara"],
    promote_s=0.3,
    leads_on=True,
    fencing=False,
    sync=1,
)

"""Case 2: a host that is cut off just before an order keeps its lease past the promotion.

The primary is cut off from four of the six hosts and from its replicas. When these hosts claim its
replacement, one of the two hosts that still reach the primary is cut off from all other machines and
from the store. Its clients go on reading. With TROUBLE=0 nothing is cut.
"""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
import testbed
from testbed import Client, both, now

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ROUNDS = 3


async def repeat(bed, host, text, pause, stop):
    client = Client(bed, host, "bookings")
    number = 0
    while not stop.is_set():
        number += 1
        await client.run(text % (host.name, number) if "%" in text else text)
        await asyncio.sleep(pause)
    client.close()


async def play(bed):
    group, net, record = bed.group, bed.net, bed.record
    names = [host.name for host in bed.hosts]
    stop = asyncio.Event()
    reads = {}

    def ran(server, host, query, text):
        if text == "FETCH a1":
            reads[query] = (server, set(server.log), now())

    group.on_run = ran
    tasks = [asyncio.create_task(repeat(bed, host, "FETCH a1", 0.01, stop)) for host in bed.hosts]
    tasks += [
        asyncio.create_task(repeat(bed, host, "STORE a1 %s-%d", 0.05, stop)) for host in bed.hosts
    ]
    await asyncio.sleep(6)
    for _ in range(ROUNDS):
        old = group.primary()
        others = [it.name for it in group.servers.values() if it is not old]
        # The primary stays in reach of two hosts, the first two of which the second is left whole.
        near, far = names[:2], names[2:]
        victim = near[0]
        done = asyncio.Event()

        def claimed(by, key):
            if by in far and not done.is_set():
                record.say("%s claims %s" % (by, key))
                net.cut(both(victim, [it for it in names if it != victim] + ["store", "cloud"]))
                done.set()

        if TROUBLE:
            net.cut(both(old.name, far + others))
            bed.store.on_claim = claimed
        await asyncio.sleep(6)
        bed.store.on_claim = None
        if TROUBLE:
            net.heal()
        await asyncio.sleep(7)
    stop.set()
    await asyncio.gather(*tasks)
    return judge(bed, reads)


def judge(bed, reads):
    """STALE: a read on a `primary` route runs on a log that lacks a commit which was acknowledged
    before the first byte of the read. Commits that a promote rolled back don't count."""
    record, kept = bed.record, set(bed.group.primary().log)
    commits = [it for it in kept if it.acknowledged is not None]
    stale = 0
    for query, (server, log, at) in sorted(reads.items(), key=lambda it: it[1][2]):
        if query not in bed.answered:
            continue
        host, sent = bed.answered[query], bed.sent[query]
        lacking = [it for it in commits if it.acknowledged < sent and it not in log]
        if lacking:
            stale += 1
            last = max(lacking, key=lambda it: it.acknowledged)
            if stale <= 20:
                record.say(
                    "STALE: read %s, sent to %s at %.4f s, ran at %s at %.4f s without %d commits, "
                    "such as %r, acknowledged at %.4f s"
                    % (
                        query,
                        host,
                        sent - record.start,
                        server.name,
                        at - record.start,
                        len(lacking),
                        last,
                        last.acknowledged - record.start,
                    )
                )
    ended = bed.ended()
    record.say(
        "%d reads answered, %d commits acknowledged and kept, %d stale reads, processes that ended: %s"
        % (len(bed.answered), len(commits), stale, ended or "none")
    )
    # A process that ended by itself breaks another rule, so the run tells nothing.
    return 1 if stale else 2 if ended else 0


testbed.main(play, HERE, ["milano", "torino", "novara"], promote_s=0.3, leads_on=True, fencing=False)

"""Two hosts are cut off from the others, then a zone is: its three hosts of seven act as the majority."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "bed-2"))
import bed  # noqa: E402

A, B, C = "zone-a", "zone-b", "zone-c"
NODE_CUT_S = 12.0
ZONE_CUT_S = 6.4


async def play(run):
    await run.start(hosts=7, host_zones="aabbbcc", server_zones="bca", cuts=True, clients=14, pause=0.02, reads=True,
                    sync=0, fencing=False, promote_s=0.3, slots=3)
    await run.until_serving(20, 200)
    await asyncio.sleep(4)
    if bed.TROUBLE != "0":
        bed.record("=== the two hosts of zone a are cut off from all other hosts")
        for zone in (A, B, C):
            run.net.cut("hosts of " + A, "hosts of " + zone)
        await asyncio.sleep(NODE_CUT_S)
        bed.record("=== these are back, and zone b is cut off from everything; clients still reach it")
        for other in (A, C, run.net.PLATFORM):
            run.net.cut(B, other)
        run.net.heal("hosts of ")
        await asyncio.sleep(ZONE_CUT_S)
        bed.record("=== all cuts heal")
        run.net.heal()
        run.group.catch_up()
    else:
        await asyncio.sleep(NODE_CUT_S + ZONE_CUT_S)
    await asyncio.sleep(8)
    after = [(at, ident) for at, ident, _ in run.group.strays if ident in run.acknowledged]
    kept = {entry[2] for entry in run.group.leader().log}
    lost = [ident for _, ident in after if ident not in kept]
    for at, server, term, _ in run.group.promotions:
        print(f"{at:.3f} {server} led term {term}")
    print(f"{len(run.acknowledged)} writes acknowledged, {len(run.group.strays)} committed at the old primary "
          f"after the promote, {len(after)} of them acknowledged, {len(lost)} of those lost")
    if after:
        first = run.group.promotions[0][0]
        print(f"the last of them {after[-1][0] - first:.1f} s after the promote")
    stale = run.stale_reads()
    bed.record("acknowledged after the promote:", *(ident for _, ident in after))
    for ident, sent, host, server, missing in stale:
        bed.record("stale read", ident, f"sent at {sent:.4f} to", host.name, "ran at", server.id, "without",
                   len(missing), "commits, the first acknowledged at", f"{missing[0][0]:.4f}", missing[0][1])
    print(f"{len(run.reads)} reads answered on the `primary` route, {len(stale)} of them stale")
    for ident, sent, host, server, missing in stale[-1:]:
        print(f"the last: {ident}, sent to {host.name}, ran at {server.id} without {len(missing)} commits, "
              f"the first acknowledged {sent - missing[0][0]:.1f} s before")
    return 1 if stale else 0


bed.main(play)

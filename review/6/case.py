"""Case 6: an idle executor restarts, gets a task before it has registered, and is cut off."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standin-2"))

from sim import *  # noqa: E402,F403

FILLER, JOB = "00000000000000f1", "5c0e7a21d94b36f8"
# Pages: `srv_crash` up to 4.5 s; `node_cut` of workers up to 5.5 s.
DOWN_S, CUT_S = 0.3, 5.5
# The new life writes its entry within one heartbeat interval (`heartbeat_ms` is 1,500).
FIRST_BEAT_S = 1.0


def lasting(cpu, **more):
    step = {"count": 1, "cpu": cpu, "mem_mb": 256, "estimate_ms": 1000, "daemon": True}
    return {"spec": "lasts", "steps": [{**step, **more}]}


def overlaps(runs):
    """Pairs of runs of one task that overlapped, with the seconds."""
    found, now = [], time.monotonic()
    for index, one in enumerate(runs):
        for other in runs[index + 1 :]:
            if one["task"] != other["task"]:
                continue
            end = min(one["end"] or now, other["end"] or now)
            begin = max(one["begin"], other["begin"])
            if end > begin:
                found.append(
                    f"{one['task']}: run {one['run']} on {one['executor']} and run {other['run']} "
                    f"on {other['executor']}, both for {end - begin:.3f} s"
                )
    return found


async def play(trouble):
    site = Site(HERE, ["captions", "plaques"], 2)
    await site.open()
    try:
        first = await site.add_executor("i-1", "captions", rack="r1")
        await site.add_executor("i-2", "captions", rack="r2")
        for number in range(3, 8):
            await site.add_executor(f"i-{number}", "plaques", rack="r3")
        await site.start_nodes()
        # Takes up i-2, so that the next task has room on i-1 only.
        await site.call(site.nodes[0], "POST", f"/captions/{FILLER}", lasting(12000, requires="r2"))
        await site.wait("the first task runs", lambda: site.all_runs(), 10)
        # By now, the clock of i-1 shows more than its longest lease.
        await asyncio.sleep(7)
        if trouble:
            site.executors.remove(first)
            site.lost.append(first)
            await first.kill()
            await asyncio.sleep(DOWN_S)
            first = await site.add_executor(
                "i-1", "captions", rack="r1", port=first.port, first_beat_s=FIRST_BEAT_S
            )
            site.record.write("executor i-1: started again under its id, at its address")
            await asyncio.sleep(0.1)
        await site.call(site.nodes[1], "POST", f"/captions/{JOB}", lasting(6000))

        def begun():
            return [run for run in site.all_runs() if run["task"].startswith(JOB)]

        await site.wait("the second task runs", begun, 10)
        if begun()[0]["executor"] != "i-1":
            raise CannotRun("the second task is not on i-1")
        # Makes room on i-2.
        await site.call(site.nodes[0], "DELETE", f"/captions/{FILLER}")
        await asyncio.sleep(0.3)
        if trouble:
            first.link.clear()
            site.record.write("executor i-1: cut off from all machines, runs on")
            await asyncio.sleep(CUT_S)
            first.link.set()
            site.record.write("executor i-1: reached again")
        await asyncio.sleep(4)
        found = overlaps(site.all_runs())
        for line in found:
            site.record.write("BROKEN TWICE: " + line)
        return bool(found), "; ".join(found) or "no two runs of a task at the same time"
    finally:
        await site.close()


main(HERE, play)

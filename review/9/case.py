"""Case 9: the settings of a machine change while it shuts down gracefully."""

import asyncio
import os
import random
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standin-2"))

from sim import *  # noqa: E402,F403

JOB = "5c0e7a21d94b36f8"
LOSS_SLACK_S, CONTACT_S = 0.2, 3.0
ROUNDS, USED = 16, 200
# When the settings change, counted from the SIGTERM. `grace_s` is 6.
CHANGE_S = (0.25, 0.29)


async def play(trouble):
    site = Site(HERE, ["captions"], 3)
    await site.open()
    try:
        for number in (1, 2):
            await site.add_executor(f"i-{number}", "captions", rack=f"r{number}")
        await site.start_nodes()
        step = {"count": 1, "cpu": 500, "mem_mb": 64, "estimate_ms": 300}
        await site.call(site.nodes[0], "POST", f"/captions/{JOB}", {"spec": "ms=300", "steps": [step]})
        # A site in use: the log has some submissions.
        for number in range(1, USED + 1):
            body = {"spec": "ms=100," + "x" * 3900, "steps": [step]}
            path = f"/captions/{number:016x}"
            await site.call(site.nodes[number % 3], "POST", path, body, note=False)
        await asyncio.sleep(2)
        lost, killed = [], 0
        for number in range(ROUNDS):
            if site.record.now() > 105:
                break
            await asyncio.sleep(CONTACT_S + random.uniform(0, 0.3))
            node = await site.wait("an owner is elected", site.owner_node, 10)
            change = random.uniform(*CHANGE_S)
            node.signal(signal.SIGTERM)
            start, changed, calls = time.monotonic(), False, []
            while time.monotonic() < start + 1.0:
                if node.alive():
                    call = site.call(node, "GET", f"/captions/{JOB}", note=False)
                    calls.append(asyncio.create_task(call))
                await asyncio.sleep(0.01)
                if trouble and not changed and time.monotonic() >= start + change:
                    changed = True
                    node.write_settings(f"# change {number}\n")
                    node.signal(signal.SIGHUP)
            answers = await asyncio.gather(*calls)
            await asyncio.wait_for(node.process.wait(), 8)
            ended = node.process.returncode
            killed += ended == -signal.SIGHUP
            site.record.write(f"{node.name}: process ended with {ended}, {len(answers)} requests sent")
            for answer in answers:
                ended_early = answer.status is None and (answer.error or "").startswith("channel")
                if ended_early and answer.done - answer.sent > LOSS_SLACK_S:
                    lost.append(answer)
                    site.record.write(
                        f"BROKEN LOST: GET /captions/{JOB} at {node.name}, sent "
                        f"{answer.sent - start:.3f} s after the SIGTERM, was cut without an answer "
                        f"{(answer.done - answer.sent) * 1000:.0f} ms later"
                    )
            await node.start()
            await site.wait("all machines are ready", site.all_ready, 20)
        why = f"{len(lost)} requests were cut over {LOSS_SLACK_S} s after they had been sent; "
        return bool(lost), why + f"{killed} processes were ended by SIGHUP in their shutdown"
    finally:
        await site.close()


main(HERE, play)

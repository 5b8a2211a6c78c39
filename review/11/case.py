"""Two coordinators are down; a job whose answer is late is sent again to a node
of another zone."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-3"))

from installation import BROKEN, COULD_NOT_RUN, HELD, main, new_id  # noqa: E402

DEADLINE_S = 1.5
RETRANSMIT_S = 1.3
DOWN_S = 9.0
JOB = {
    "spec": "ms=4000",
    "best_effort": True,
    "steps": [{"count": 2, "cpu": 1000, "mem_mb": 64, "estimate_ms": 4000}],
}


async def hand_in(installation, job, places):
    """Sends a job until it gets a final answer: to one node after the other,
    each time retransmit_ms after no answer, 502 or 504, or a second after 429
    or 503."""
    for place in places:
        status, _ = await installation.post(place, job, JOB, timeout=DEADLINE_S)
        if status in (0, 502, 504):
            await asyncio.sleep(RETRANSMIT_S)
        elif status in (429, 503):
            await asyncio.sleep(1)
        else:
            return


def overlaps(events, job):
    """The pairs of runs of one task of a job that were there at the same time."""
    running = {}
    pairs = []
    for when, worker, what, fields in events:
        task = fields.get("task", "")
        if not task.startswith(job):
            continue
        if what == "started":
            for other in running.get(task, []):
                pairs.append((task, other, (worker, fields["run"]), round(when)))
            running.setdefault(task, []).append((worker, fields["run"]))
        elif what == "ended":
            running[task].remove((worker, fields["run"]))
    return pairs


async def case(installation, with_trouble):
    await installation.start()
    if not await installation.ready():
        return COULD_NOT_RUN
    down = installation.coordinators[:2]
    if with_trouble:
        for coordinator in down:
            coordinator.kill()
    await asyncio.sleep(3)
    # Varazdin and Sisak by turns: the zones whose coordinators are up.
    places = (4, 5, 4, 5, 4, 5)
    jobs = [new_id() for _ in range(3)]
    clients = [
        asyncio.create_task(hand_in(installation, job, places)) for job in jobs
    ]
    await asyncio.sleep(DOWN_S - 3)
    if with_trouble:
        for coordinator in down:
            coordinator.start(bootstrap=False)
    await asyncio.gather(*clients)
    await asyncio.sleep(5)
    started = [event for event in installation.events if event[2] == "started"]
    if not any(event[3]["job"] in jobs for event in started):
        return COULD_NOT_RUN
    result = HELD
    for job in jobs:
        for task, first, second, when in overlaps(installation.events, job):
            installation.record(
                "check", "TWICE", task=task, run=first, beside=second, at=when
            )
            result = BROKEN
    return result


sys.exit(main(case, FOLDER))

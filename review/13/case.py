"""A job is cancelled while the gateway that its POST went to is frozen."""

import asyncio
import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-3"))

from installation import BROKEN, COULD_NOT_RUN, HELD, main, new_id  # noqa: E402

FREEZE_S = 4.0
CANCEL_MS = 3000
STEP = {"count": 2, "cpu": 1000, "mem_mb": 64, "estimate_ms": 1500}
BEST_EFFORT = {"spec": "ms=1500", "best_effort": True, "steps": [STEP]}
STORED = {"spec": "ms=1500", "steps": [STEP, {**STEP, "after": [0]}]}


async def cancelled_job(installation, body):
    """Hands a job in at the first gateway and cancels it, half a second later,
    at another one; returns its id and when the cancelling was acknowledged."""
    job = new_id()
    post = asyncio.create_task(installation.post(0, job, body, timeout=10))
    await asyncio.sleep(0.5)
    status, _ = await installation.delete(2, job)
    acknowledged = installation.record.now() if status in (200, 410) else None
    return job, acknowledged, post


async def case(installation, with_trouble):
    await installation.start()
    if not await installation.ready():
        return COULD_NOT_RUN
    gateway = installation.gateways[0]
    began = time.monotonic()
    if with_trouble:
        gateway.signal(signal.SIGSTOP)
    jobs = await asyncio.gather(
        cancelled_job(installation, BEST_EFFORT), cancelled_job(installation, STORED)
    )
    await asyncio.sleep(max(0.0, began + FREEZE_S - time.monotonic()))
    if with_trouble:
        gateway.signal(signal.SIGCONT)
    await asyncio.sleep(8)
    result = HELD
    for job, acknowledged, post in jobs:
        if acknowledged is None:
            return COULD_NOT_RUN
        await post
        await installation.get(3, job)
        for when, worker, what, fields in installation.events:
            late = when - acknowledged
            if what == "started" and fields["job"] == job and late > CANCEL_MS:
                installation.record(
                    "check",
                    "UNASKED",
                    task=fields["task"],
                    worker=worker,
                    ms_after_acknowledgement=round(late),
                )
                result = BROKEN
    return result


sys.exit(main(case, FOLDER))

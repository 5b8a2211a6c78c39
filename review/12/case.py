"""A queue moves to another service, whose runners take over from the one runner
of the old service, while a job of the queue is at work."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-3"))

from installation import BROKEN, COULD_NOT_RUN, HELD, main, new_id  # noqa: E402

WORKERS = 16
DRAIN_S = 2.5
IDLE_MS = 3000
FINISH_S = 14
JOB = {
    "spec": "ms=1500",
    "steps": [
        {"count": 1, "cpu": 1000, "mem_mb": 64, "estimate_ms": 1500},
        {"count": 2, "cpu": 1000, "mem_mb": 64, "estimate_ms": 1500, "after": [0]},
    ],
}


async def case(installation, with_trouble):
    old = installation.workers[0]
    old.service = "old-desk"
    route = installation.manifest["routes"][0]
    services = installation.manifest["services"]
    installation.manifest["routes"][0] = {**route, "service": "old-desk"}
    installation.manifest["services"] = [*services, {**services[0], "name": "old-desk"}]
    await installation.start()
    if not await installation.ready():
        return COULD_NOT_RUN
    jobs = [new_id() for _ in range(3)]
    for job in jobs:
        status, _ = await installation.post(0, job, JOB)
        if status != 200:
            return COULD_NOT_RUN
    await asyncio.sleep(0.3)
    if with_trouble:
        installation.manifest = {
            **installation.manifest,
            "version": 8,
            "routes": [route],
        }
        if not await installation.put_manifest(2):
            return COULD_NOT_RUN
        await old.leave(DRAIN_S)
    await asyncio.sleep(FINISH_S + IDLE_MS / 1000)
    # The queue's new service serves jobs that come now.
    if not await installation.serves(1):
        return COULD_NOT_RUN
    now = installation.record.now()
    result = HELD
    for job in jobs:
        status, answer = await installation.get(2, job)
        times = [
            when
            for when, _, what, fields in installation.events
            if what in ("started", "ended") and fields["task"].startswith(job)
        ]
        idle_ms = round(now - max(times))
        is_broken = answer.get("state") not in ("completed", "failed")
        installation.record(
            "check",
            "LOST" if is_broken and idle_ms > IDLE_MS else "answered",
            job=job,
            status=status,
            state=answer.get("state"),
            nothing_running_for_ms=idle_ms,
        )
        if is_broken and idle_ms > IDLE_MS:
            result = BROKEN
    return result


sys.exit(main(case, FOLDER, workers=WORKERS))

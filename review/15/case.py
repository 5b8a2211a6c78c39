"""A route is dropped while its jobs run, and then the leader is killed."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-3"))

from installation import BROKEN, COULD_NOT_RUN, HELD, main, new_id  # noqa: E402

REJECTIONS = (404, 429, 503)


def body(run_ms):
    step = {"count": 2, "cpu": 1000, "mem_mb": 64, "estimate_ms": run_ms}
    return {"spec": f"ms={run_ms}", "best_effort": True, "steps": [step]}


async def case(installation, with_trouble):
    dropped = installation.manifest["routes"][0]
    other = {**dropped, "name": "r-other", "path_prefix": "/other/"}
    installation.manifest["routes"].append(other)
    await installation.start()
    if not await installation.ready():
        return COULD_NOT_RUN
    # The jobs are handed in at once, each with one call that waits for its end.
    jobs = {new_id(): run_ms for run_ms in (500, 700, 3000)}
    calls = {
        job: asyncio.create_task(installation.post(0, job, body(run_ms), timeout=8))
        for job, run_ms in jobs.items()
    }
    await asyncio.sleep(0.2)
    installation.manifest = {
        **installation.manifest,
        "version": 8,
        "routes": [other],
    }
    if not await installation.put_manifest(2):
        return COULD_NOT_RUN
    leader = installation.leader()
    if leader is None:
        return COULD_NOT_RUN
    if with_trouble:
        leader.kill()
        await asyncio.sleep(0.5)
        leader.start(bootstrap=False)
    result = HELD
    for job, call in calls.items():
        status, _ = await call
        ran = [
            (what, fields["task"])
            for _, _, what, fields in installation.events
            if what in ("started", "ended") and fields["task"].startswith(job)
        ]
        starts = sum(what == "started" for what, _ in ran)
        if starts == 0:
            return COULD_NOT_RUN
        is_broken = status in REJECTIONS
        installation.record(
            "check",
            "REFUSED" if is_broken else "answered",
            job=job,
            starts=starts,
            run_ms=jobs[job],
            status=status,
        )
        result = BROKEN if is_broken else result
    return result


sys.exit(main(case, FOLDER))

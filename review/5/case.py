"""Runners leave while a front that takes over as the reader of their entries lists these page by page."""

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))

import standins
from standins import DRAIN_MS, TROUBLE, ask

RUNNERS = 120
# One runner in eight leaves, of which one in four doesn't report it.
LEAVE_EACH = 8
ABRUPT_EACH = 4
# How long after the acknowledgement a runner that drains exits, and one that doesn't report it.
DRAINED_EXIT_S = 5.0
ABRUPT_EXIT_S = 8.0
ROUTE = {"name": "r-order", "host": standins.HOST, "prefix": "/order/", "kind": "non_idempotent",
         "timeoutMs": 2000, "sloMs": 250, "priority": 2, "service": "cert", "attempts": 1}
SERVICE = {"name": "cert", "healthPath": "/healthz", "maxConns": 96, "proto": "h1", "tls": False}


async def send(deployment, front, id, answers):
    answer = await ask(front.front, "/order/x", id, body=b"order " + id.encode())
    answers[id] = (front.name, deployment.record.now(), answer)


async def traffic(deployment, answers):
    """Sends 240 orders a second to the two fronts that are never disturbed."""
    number, tasks = 0, []
    while not deployment.over:
        for front in deployment.fronts[:2]:
            number += 1
            tasks.append(asyncio.create_task(send(deployment, front, f"{number:016x}", answers)))
        await asyncio.sleep(1 / 120)
    await asyncio.gather(*tasks)


async def exit_later(deployment, runner, after):
    await asyncio.sleep(after)
    if not runner.gone:
        runner.leave()
    await runner.close()
    deployment.record(f"{runner.id} exits")


async def play(deployment):
    record, platform = deployment.record, deployment.platform
    await deployment.begin()
    await deployment.add_runners("cert", RUNNERS, work_s=0.3)
    deployment.configure(1, [ROUTE], [SERVICE])
    await deployment.start_all()
    leaving = deployment.runners[LEAVE_EACH // 2::LEAVE_EACH]
    abrupt = leaving[::ABRUPT_EACH]
    answers, left, exits = {}, {}, []
    deployment.over = False
    sender = asyncio.create_task(traffic(deployment, answers))
    await asyncio.sleep(5.0)

    def scale_in():
        for runner in leaving:
            is_abrupt = runner in abrupt
            revision = runner.leave() if is_abrupt else runner.drain()
            left[runner.id] = record.now()
            record(f"{runner.id} leaves, revision {revision}: "
                   + ("its entry is removed" if is_abrupt else "it reports draining"))
            after = ABRUPT_EXIT_S if is_abrupt else DRAINED_EXIT_S
            exits.append(asyncio.create_task(exit_later(deployment, runner, after)))

    # Of fronts of the same size the first by name reads the entries for all.
    first = deployment.fronts[2]
    if TROUBLE:
        def on_range(prefix, after, answer):
            if prefix != "servers/":
                return
            record(f"a front lists the entries after {after!r} at revision {answer['at']}: "
                   f"{len(answer['items'])} items, more: {answer['hasMore']}")
            if not left and after == "" and answer["hasMore"]:
                # The page has been read; its answer is on its way.
                asyncio.get_running_loop().call_soon(scale_in)

        platform.on_range = on_range
        # The VM is removed for good, without SIGTERM.
        await first.kill()
        await asyncio.sleep(3.0)
    else:
        scale_in()
    if not left:
        raise standins.CannotRun("no front has listed the entries")
    await asyncio.gather(*exits)
    await asyncio.sleep(1.0)
    deployment.over = True
    await sender
    for front in deployment.fronts[:2]:
        record(f"{front.name} knows {(await front.metrics()).get('runners')} runners of {RUNNERS - len(leaving)}")
    late, cut = [], []
    for runner in leaving:
        bound = left[runner.id] + DRAIN_MS / 1000
        of_runner = [run for run in runner.runs if run["at"] > bound]
        before = len(runner.runs) - len(of_runner)
        record(f"{runner.id} ran {before} requests until drainMs after the acknowledgement, {len(of_runner)} later")
        for run in of_runner:
            front, at, answer = answers[run["id"]]
            record(f"  {run['id']} sent to {front}, run {run['at'] - left[runner.id]:.3f} s after the "
                   f"acknowledgement, whole: {run['ended']}, answered at {at:.3f}: {answer}")
        late += of_runner
        cut += [run for run in of_runner if not run["ended"]]
    record(f"{len(late)} requests late, {len(cut)} of them cut off when their runner exited")
    if not late:
        return []
    return [f"DRAIN: {len(late)} requests reached runners later than drainMs after the store had acknowledged that "
            f"these were gone, by fronts that were never disturbed; {len(cut)} of them were cut off"]


play.options = {"page": 50}

if __name__ == "__main__":
    standins.main(HERE / "record.txt", play)

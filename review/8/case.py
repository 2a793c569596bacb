"""A kept turn whose stream was taken up twice is stored with events that its caller never got.

1. The first attempt's connection is reset. The VM has recorded events 1 to 8; the caller has 1 to 5, the
   rest was on its way.
2. The second attempt goes on after event 5 at another VM, with a new run that makes events 6, 7, ... of its
   own. Then all VMs with a disk are killed, and come back. Meanwhile the stream goes on: its events aren't
   recorded, and are passed on all the same.
3. That connection is reset, too; the caller has events 1 to 7.
4. The third attempt goes on after event 7 and is answered whole. The caller then continues the turn.

The runner has to get the data of the events that the caller has got.
"""

import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-2"))
import rig as r

LAST = 12


async def handler(run, writer):
    """Each run makes its own events; one that goes on after an event begins behind it."""
    after = int(run.fields.get("last-event-id", "0"))
    r.begin_stream(run, writer)
    await writer.drain()
    # The first run is quick up to event 8, and all others take their time.
    is_first = run.id == "attempt1"
    if not is_first:
        await asyncio.sleep(0.15)
    for number in range(after + 1, LAST + 1):
        r.event(writer, number, f"{number} of {run.id}")
        await writer.drain()
        if is_first and number >= 8:
            await asyncio.sleep(2.0)
        elif not is_first:
            await asyncio.sleep(0.1)
    r.end_stream(writer)


def fields(ident, **more):
    return {
        "Request-Id": ident, "Program-Id": "p1", "Session-Id": "s1", "Finish-Ms": "60000", "Token-Budget": "4704",
        "Token-Usage": "1680,588", "Deadline-Ms": "4000", "Model": "m", **more,
    }


async def take(rig, front, ident, held, until, slow=False, **more):
    """Sends an attempt and reads events up to `until`; returns whether the answer ended as complete."""
    exchange = r.Exchange((front.ip, r.CALLERS), "POST", "/kept/x", fields(ident, **more), b"first input")
    answer = await exchange.open()
    rig.note(f"{ident} to {front.name} {more}: {answer.status}")
    if answer.status != 200:
        raise r.CannotRun(f"{ident}: {answer.status} {(await exchange.rest()).body[:200]!r}")
    before = len(held)
    while await exchange.data():
        events = r.events_of(answer.body[: answer.body.rfind(b"\n\n") + 2])
        held[before:] = [event for event in events if event[0] <= until]
        if held and held[-1][0] >= until:
            break
    if slow:
        # What the VM has sent meanwhile is on its way when the connection is reset.
        await asyncio.sleep(0.3)
    if answer.whole:
        exchange.close()
        return True
    exchange.close()
    rig.note(f"the connection of {ident} is reset; the caller has {held}")
    return False


async def story(rig):
    await rig.begin(fronts=3)
    await rig.runner(1, "models", handler)
    await rig.runner(2, "models", handler, zone="b")
    routes = [r.stream_route("kept", "/kept/", "models", retain=True, resumable=True)]
    await rig.configure(1, routes, [r.engine_service("models")])
    await rig.ready(2)
    held = []

    await take(rig, rig.fronts[0], "attempt1", held, 5, slow=True)
    await asyncio.sleep(0.2)

    more = {"Resumes": "attempt1", "Last-Event-Id": "5"}
    second = asyncio.create_task(take(rig, rig.fronts[1], "attempt2", held, 7, **more))
    if r.TROUBLE:
        # Once the second run has begun, and before its first event.
        async def begun():
            return any(run.id == "attempt2" for run in rig.runs)
        await rig.until("the second run begins", begun)
        await asyncio.sleep(0.05)
        for store in rig.stores:
            store.signal(signal.SIGKILL)
    await second
    if r.TROUBLE:
        for store in rig.stores:
            await store.process.wait()
            await store.start()
    await rig.ready(2)
    await asyncio.sleep(0.5)

    more = {"Resumes": "attempt1", "Last-Event-Id": "7"}
    try:
        is_whole = await take(rig, rig.fronts[2], "attempt3", held, LAST + 1, **more)
    except r.CannotRun as refused:
        rig.note(f"the third attempt is refused, which is allowed: {refused}")
        return None
    if not is_whole:
        raise r.CannotRun("the third attempt broke off")
    rig.note(f"attempt3 is answered whole; the caller has {held}")

    next_input = b"second input"
    answer = await r.ask((rig.fronts[0].ip, r.CALLERS), "POST", "/kept/x", fields("next", **{"Previous-Turn": "attempt3"}), next_input)
    rig.note(f"the next turn: {answer} {answer.body[:120]!r}")
    run = next((run for run in rig.runs if run.id == "next"), None)
    if run is None:
        return None
    expected = b"first input" + b"".join(f"{data}\n".encode() for _, data in held) + next_input
    rig.note(f"the runner got   {run.body!r}")
    rig.note(f"it should have got {expected!r}")
    if run.body != expected:
        return "the runner of the next turn got other outputs than the caller"
    return None


r.play(__file__, story)

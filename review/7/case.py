"""One part of long prompts crashes each runner that begins to answer; counts the requests that still reach runners."""
import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "support-2"))
from standins import *  # noqa: E402,F403

STABLE_S = 3.0
RUNNERS = 6
EVENTS = 30
EVENT_PERIOD_S = 0.05
READ_S = 0.05
RESTART_S = 2.0
SOUND_PERIOD_S = 0.1
HARMFUL_PERIOD_S = 0.8
TRAFFIC_S = 30.0
# Parts that requests share, in order, before the part of their own.
COMMON_PARTS = [f"c0ffee{number:02x}" for number in range(20)]
HARMFUL_PART = "bad0beef"
ALLOWED = 3


async def main(record, folder, trouble):
    store = await Store().start()
    harmful_ids, crashes, arrivals = set(), [], []

    def parts_of(request):
        return [entry.split(":")[0] for entry in request.headers["prefix-hash"].split(",")]

    async def crash(runner, id):
        record(f"runner {runner.id} crashes at {id}")
        crashes.append(time.monotonic())
        runner.server.stop()
        await asyncio.sleep(RESTART_S)
        again = await Runner(store, "lm", stream, port=runner.server.port).start()
        await store.remove(f"servers/{runner.id}")
        record(f"runner {again.id} starts at the address of {runner.id}")

    async def stream(runner, request, reader, writer):
        id = request.headers["request-id"]
        first = int(request.headers.get("last-event-id", "0")) + 1
        record(f"runner {runner.id} gets {id}{' with the harmful part' if id in harmful_ids else ''}")
        if id in harmful_ids:
            arrivals.append(time.monotonic())
        await asyncio.sleep(READ_S)
        if trouble and HARMFUL_PART in parts_of(request)[:-1]:
            if not runner.has_crashed:
                runner.has_crashed = True
                tasks.append(asyncio.create_task(crash(runner, id)))
            return False
        writer.write(response_bytes(200, runner.headers(request, **{"Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked"})))
        for number in range(first, EVENTS + 1):
            event = b"id: %d\ndata: token\n\n" % number
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(EVENT_PERIOD_S)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True

    tasks, outcomes = [], {"sound": [], "harmful": []}
    for _ in range(RUNNERS):
        await Runner(store, "lm", stream).start()
    route = {"name": "draft", "host": "draft.example", "prefix": "/draft/", "service": "lm", "kind": "streaming",
        "resumable": True, "timeoutMs": 20000, "targetLatencyMs": 500, "targetGapMs": 200, "maxAttempts": 2,
        "priority": 0, "sticky": True}
    await store.put("op/config", configuration(1, [route], [{"name": "lm", "healthPath": "/health"}]))
    daemon = Daemon(folder, store).start()

    async def client(kind):
        id = request_id()
        own = os.urandom(4).hex()
        parts = COMMON_PARTS + [own]
        if kind == "harmful":
            harmful_ids.add(id)
            parts = [HARMFUL_PART] + parts
        prefix = ",".join(f"{part}:40" for part in parts)
        try:
            answer = await Client(daemon.front).exchange("POST", "/draft/x", {"Host": "draft.example",
                "Request-Id": id, "Deadline": "20000", "Model": "m0", "Token-Counts": f"{40 * len(parts)},60",
                "Prefix-Hash": prefix}, b"x" * 800)
            record(f"client of {kind} {id} got {answer.status}, {answer.body.count(b'id: ')} events,"
                   f" {'whole' if answer.whole else 'broken off'}")
            outcomes[kind].append(answer.whole and answer.status == 200)
        except (OSError, EOFError) as failure:
            record(f"client of {kind} {id}: {failure!r}")
            outcomes[kind].append(False)

    async def send(kind, period):
        end = time.monotonic() + TRAFFIC_S
        while time.monotonic() < end:
            tasks.append(asyncio.create_task(client(kind)))
            await asyncio.sleep(period)

    try:
        await daemon.wait_until_ready()
        sound = asyncio.create_task(send("sound", SOUND_PERIOD_S))
        await asyncio.sleep(2)
        await send("harmful", HARMFUL_PERIOD_S)
        await sound
        await asyncio.sleep(4)
        await asyncio.gather(*tasks)
        for kind, results in outcomes.items():
            record(f"{kind}: {sum(results)} of {len(results)} streams were whole")
        if not trouble:
            return None if all(outcomes["sound"] + outcomes["harmful"]) else "requests failed without the disruption"
        if len(crashes) < 5:
            record(f"only {len(crashes)} crashes")
            return None
        late = [at for at in arrivals if at > crashes[4] + STABLE_S]
        record(f"{len(crashes)} crashes; {len(late)} requests with the harmful part reached runners later than"
               f" {STABLE_S} s after the fifth, allowed are {ALLOWED}")
        return f"{len(late)} requests with the harmful part after the fifth crash" if len(late) > ALLOWED else None
    finally:
        daemon.end()


run_case(FOLDER, main)

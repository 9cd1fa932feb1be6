"""Another writer keeps writing unreadable entries into the registry; the memory of the daemon is measured."""
import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "support-2"))
from standins import *  # noqa: E402,F403

MEMORY_MB = 112
ENTRIES = 2
ENTRY_BYTES = 1_048_576
HEARTBEAT_S = 1.2
TRAFFIC_S = 85
REQUEST_PERIOD_S = 0.2
# What the store keeps of its history, at least 20 s.
HISTORY_S = 20


async def main(record, folder, trouble):
    store = await Store().start()

    async def answer(runner, request, reader, writer):
        await asyncio.sleep(0.02)
        writer.write(response_bytes(200, runner.headers(request), b"y" * 800))
        await writer.drain()
        return True

    for _ in range(3):
        await Runner(store, "desk", answer, slots=6).start()
    route = {"name": "status", "host": "desk.example", "prefix": "/status/", "service": "desk", "kind": "safe",
        "timeoutMs": 1500, "targetLatencyMs": 300, "maxAttempts": 2, "priority": 0}
    await store.put("op/config", configuration(1, [route], [{"name": "desk", "healthPath": "/health"}]))
    daemon = Daemon(folder, store, memory_mb=MEMORY_MB).start()
    served = []

    async def client():
        id = request_id()
        try:
            answer = await Client(daemon.front).exchange("GET", "/status/x", {"Host": "desk.example",
                "Request-Id": id, "Deadline": "3000"})
            record(f"client of {id} got {answer.status}, {'whole' if answer.whole else 'broken off'}")
            served.append(answer.whole and answer.status == 200)
        except (OSError, EOFError) as failure:
            record(f"client of {id}: {failure!r}")
            served.append(False)

    async def write_entries():
        while True:
            for number in range(ENTRIES):
                await store.put(f"servers/other-{number}", os.urandom(ENTRY_BYTES))
            record(f"{ENTRIES} entries of {ENTRY_BYTES} bytes were written; the daemon takes"
                   f" {daemon.memory('VmRSS'):.0f} MB")
            del store.history[:-int(ENTRIES * HISTORY_S / HEARTBEAT_S)]
            await asyncio.sleep(HEARTBEAT_S)

    try:
        await daemon.wait_until_ready()
        record(f"resident memory at the start: {daemon.memory('VmRSS'):.0f} MB")
        writer = asyncio.create_task(write_entries()) if trouble else None
        end = time.monotonic() + TRAFFIC_S
        while time.monotonic() < end and daemon.is_running():
            await asyncio.gather(client(), asyncio.sleep(REQUEST_PERIOD_S))
        if writer:
            writer.cancel()
        if not daemon.is_running():
            return "the daemon ended"
        peak = daemon.memory("VmHWM")
        record(f"{sum(served)} of {len(served)} requests were served; peak of the resident memory: {peak:.0f} MB,"
               f" memory of the machine: {MEMORY_MB} MB")
        return f"the daemon took {peak:.0f} MB of {MEMORY_MB} MB" if peak > MEMORY_MB else None
    finally:
        daemon.end()


run_case(FOLDER, main)

"""Half of the runners send bytes without end in the bodies of their streams; the memory of the daemon is measured."""
import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "support-2"))
from standins import *  # noqa: E402,F403

MEMORY_MB = 112
SLOTS = 192
STREAMS = 240
EVENTS = 40
EVENT_PERIOD_S = 0.1
# Bytes of one write of a runner that sends no events any more, and the time to the next one.
JUNK_BYTES = 32_768
JUNK_PERIOD_S = 0.16


async def main(record, folder, trouble):
    store = await Store().start()
    broken_runners = set()

    async def stream(runner, request, reader, writer):
        id = request.headers["request-id"]
        first = int(request.headers.get("last-event-id", "0")) + 1
        record(f"runner {runner.id} runs {id} from event {first}")
        writer.write(response_bytes(200, runner.headers(request, **{"Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked"})))
        chunk = lambda data: writer.write(b"%x\r\n%b\r\n" % (len(data), data))
        for number in range(first, EVENTS + 1):
            if runner.id in broken_runners and number > 5:
                sent = 0
                while not writer.transport.is_closing():
                    chunk(b"\xa5" * JUNK_BYTES)
                    sent += JUNK_BYTES
                    await writer.drain()
                    await asyncio.sleep(JUNK_PERIOD_S)
                record(f"runner {runner.id} sent {sent} bytes that are no events for {id}")
                return False
            chunk(b"id: %d\ndata: token\n\n" % number)
            await writer.drain()
            await asyncio.sleep(EVENT_PERIOD_S)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True

    runners = [await Runner(store, "lm", stream, slots=SLOTS).start() for _ in range(2)]
    if trouble:
        broken_runners.add(runners[0].id)
    route = {"name": "draft", "host": "draft.example", "prefix": "/draft/", "service": "lm", "kind": "streaming",
        "timeoutMs": 20000, "targetLatencyMs": 1000, "targetGapMs": 200, "maxAttempts": 2,
        "priority": 0}
    await store.put("op/config", configuration(1, [route], [{"name": "lm", "healthPath": "/health"}]))
    daemon = Daemon(folder, store, memory_mb=MEMORY_MB).start()
    try:
        await daemon.wait_until_ready()
        record(f"resident memory before the streams: {daemon.memory('VmRSS'):.0f} MB")

        async def client(_):
            id = request_id()
            connection = Client(daemon.front)
            try:
                answer = await connection.exchange("POST", "/draft/x", {"Host": "draft.example", "Request-Id": id,
                    "Deadline": "20000"}, b"x" * 800)
                record(f"client of {id} got {answer.status}, {answer.body.count(b'id: ')} events,"
                       f" {'whole' if answer.whole else 'broken off'}")
                return answer.whole and answer.status == 200
            except (OSError, EOFError) as failure:
                record(f"client of {id}: {failure!r}")
                return False

        results = await asyncio.gather(*(client(number) for number in range(STREAMS)))
        peak = daemon.memory("VmHWM")
        record(f"{sum(results)} of {STREAMS} streams were whole; peak of the resident memory: {peak:.0f} MB,"
               f" memory of the machine: {MEMORY_MB} MB")
        if not daemon.is_running():
            return "the daemon ended"
        return f"the daemon took {peak:.0f} MB of {MEMORY_MB} MB" if peak > MEMORY_MB else None
    finally:
        daemon.end()


run_case(FOLDER, main)

"""A runner falls silent in mid-stream and answers inquiries with junk; requests to sound runners are lost."""
import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "support-2"))
from standins import *  # noqa: E402,F403

MEMORY_MB = 182
ALLOWED = 3
STREAMS = 20
EVENTS = 40
EVENT_PERIOD_S = 0.05
SILENCE_S = 4
JUNK = b"[" * 4_000_000


async def main(record, folder, trouble):
    store = await Store().start()

    class FaultyRunner(Runner):
        async def serve(self, request, reader, writer):
            if request.path != "/v1/report":
                return await super().serve(request, reader, writer)
            record(f"runner {self.id} answers an inquiry with {len(JUNK)} bytes that are no report")
            writer.write(response_bytes(200, {"Content-Type": "application/json"}, JUNK))
            await writer.drain()
            return True

    async def stream(runner, request, reader, writer):
        id = request.headers["request-id"]
        first = int(request.headers.get("last-event-id", "0")) + 1
        record(f"runner {runner.id} runs {id} from event {first}")
        writer.write(response_bytes(200, runner.headers(request, **{"Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked"})))
        for number in range(first, EVENTS + 1):
            event = b"id: %d\ndata: token\n\n" % number
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
            faulty = isinstance(runner, FaultyRunner) and number == 5
            await asyncio.sleep(SILENCE_S if faulty else EVENT_PERIOD_S)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True

    await (FaultyRunner if trouble else Runner)(store, "lm", stream).start()
    await Runner(store, "lm", stream).start()
    route = {"name": "draft", "host": "draft.example", "prefix": "/draft/", "service": "lm", "kind": "streaming",
        "resumable": True, "timeoutMs": 20000, "targetLatencyMs": 500, "targetGapMs": 200, "maxAttempts": 2,
        "priority": 0}
    await store.put("op/config", configuration(1, [route, SoundService.ROUTE], [{"name": "lm", "healthPath": "/health"}, SoundService.SERVICE]))
    sound = await SoundService(store, record).start()
    daemon = Daemon(folder, store, memory_mb=MEMORY_MB).start()
    try:
        await daemon.wait_until_ready()
        memory = asyncio.create_task(enforce_memory(daemon, record))
        sound.call(daemon)
        await asyncio.sleep(2)

        async def client(_):
            id = request_id()
            try:
                answer = await Client(daemon.front).exchange("POST", "/draft/x", {"Host": "draft.example",
                    "Request-Id": id, "Deadline": "20000"}, b"x" * 800)
                record(f"client of {id} got {answer.status}, {answer.body.count(b'id: ')} events,"
                       f" {'whole' if answer.whole else 'broken off'}")
                return answer.whole and answer.status == 200
            except (OSError, EOFError) as failure:
                record(f"client of {id}: {failure!r}")
                return False

        results = await asyncio.gather(*(client(number) for number in range(STREAMS)))
        record(f"{sum(results)} of {STREAMS} streams were whole")
        await asyncio.sleep(0.5)
        await sound.finish()
        lost = len(sound.lost)
        return f"{lost} requests that sound runners ran got no answer" if lost > ALLOWED else None
    finally:
        daemon.end()


run_case(FOLDER, main)

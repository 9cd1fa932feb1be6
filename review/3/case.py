"""A reload and a stop that follow each other end the daemon, and the requests that it has passed on lose their answers.

Eighteen daemons serve non-idempotent requests of a plain service on kept connections. Five of them, one after the
other, get SIGHUP and SIGTERM. The rule allows no connection to end without an answer around planned work.
"""
import asyncio
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))
import fleet  # noqa: E402

DAEMONS = 18
# The share of the machines that `hup` names, 0.3 of 18.
SIGNALLED = 5
CLIENTS_PER_DAEMON = 2


class Outcome:
    def __init__(self):
        self.cut = []
        self.answered = 0


async def call_repeatedly(record, daemon, name, runners, outcome, stop):
    """Sends one request after the other on a kept connection; each has an id of its own."""
    client = fleet.Client(daemon.front)
    number = 0
    while not stop.is_set():
        number += 1
        id = f"{name}-{number:04d}"
        headers = {"Host": "members.example", "Request-Id": id, "Deadline": 3000, "Api-Key": "key-one"}
        try:
            await client.send("POST", "/file/1", headers, b"s" * 600)
        except OSError:
            # The daemon has stopped to listen, or has closed the idle connection: nothing was read.
            client.close()
            return
        try:
            line, answered, _ = await asyncio.wait_for(fleet.read_message(client.reader), 4)
        except (asyncio.IncompleteReadError, OSError, asyncio.TimeoutError):
            ran = any(id in runner.ran for runner in runners)
            record.line(f"client: {id} at {daemon.name}: connection ended without an answer, passed on: {ran}")
            # A request that crosses the close of the connection and wasn't passed on doesn't count.
            if ran:
                outcome.cut.append(id)
            client.close()
            return
        outcome.answered += 1
        record.line(f"client: {id} at {daemon.name}: {line}")
        if answered.get("connection", "").lower() == "close":
            client.close()
            return
        await asyncio.sleep(0.02)


async def main(record, folder):
    store = await fleet.Store().listen()
    store.put("op/config", fleet.configuration(
        7, [fleet.route("sheet-file", "/file/", "unsafe", "registry")], [{"name": "registry", "healthPath": "/health"}]))
    runners = [await fleet.Runner(store, record, f"r{i}", "registry", "east", work_s=0.15, slots=12).register()
               for i in range(3)]
    daemons = [fleet.Daemon(folder, record, f"front-east-{i:02d}", "east", store.address) for i in range(DAEMONS)]
    outcome, stop = Outcome(), asyncio.Event()
    crashed = []
    try:
        for daemon in daemons:
            await daemon.start()
        for daemon in daemons:
            if not await daemon.wait_until_ready():
                record.say(f"{daemon.name} isn't ready")
                return fleet.CANNOT_RUN
        await asyncio.sleep(1)
        callers = [asyncio.create_task(
            call_repeatedly(record, daemon, f"{daemon.name}-c{i}", runners, outcome, stop))
            for daemon in daemons for i in range(CLIENTS_PER_DAEMON)]
        # Longer than the span after the start in which a machine isn't judged.
        await asyncio.sleep(fleet.BOUNDS["stableMs"] / 1000 + 1)
        for daemon in daemons[:SIGNALLED]:
            if fleet.TROUBLE:
                daemon.signal(signal.SIGHUP, signal.SIGTERM)
            await asyncio.sleep(1.3)
        await asyncio.sleep(1)
        stop.set()
        await asyncio.wait(callers, timeout=6)
        if fleet.TROUBLE:
            for daemon in daemons[:SIGNALLED]:
                code = await asyncio.wait_for(daemon.process.wait(), fleet.BOUNDS["graceS"])
                record.say(f"{daemon.name} ended with {code}")
                if code < 0:
                    crashed.append(daemon.name)
    finally:
        for daemon in daemons:
            await daemon.end()
    for daemon in daemons[:SIGNALLED]:
        text = (pathlib.Path(folder) / f"{daemon.name}.log").read_text(errors="replace")
        for line in text.splitlines():
            if "terminate" in line or "what()" in line or "event=stopping" in line:
                record.line(f"log of {daemon.name}: {line}")
    record.say(f"answered: {outcome.answered}; passed on and cut without an answer: {len(outcome.cut)} "
               f"({', '.join(outcome.cut[:6])}); daemons that ended by a signal of their own: {len(crashed)}")
    return fleet.BROKEN if outcome.cut else fleet.HOLDS


if __name__ == "__main__":
    fleet.run_case(FOLDER, main)

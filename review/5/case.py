"""A runner spoils bytes in the head of some answers; the daemon passes them on as a success that is no HTTP message.

One of three runners spoils three in a hundred of its answers: the name of one header becomes control bytes. Clients check
that what they get is an answer in the protocol: a status line, then lines of a name, which is a token, a colon and a value.
"""
import asyncio
import pathlib
import random
import re
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))
import fleet  # noqa: E402

CLIENTS = 12
SPOILED_SHARE = 0.03
PLAYED_S = 15
FIELD = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+:[ \t]*[\x20-\x7e\x80-\xff\t]*")
STATUS = re.compile(rb"HTTP/1\.1 [1-5][0-9]{2} [\x20-\x7e]*")


class SpoilingRunner(fleet.Runner):
    """Spoils the name of a header in some of its answers."""

    chance = random.Random(1)

    async def run(self, method, target, headers, body, writer, echo):
        id = headers["request-id"]
        self.ran.append(id)
        await asyncio.sleep(self.work_s)
        spoils = fleet.TROUBLE and self.chance.random() < SPOILED_SHARE
        name = "\x01\x02\x03\x04\x05\x06\x07" if spoils else "X-Shard"
        writer.write(fleet.response(200, dict(echo, **{"Server-Seal": f"{self.id}.{id}", name: "7"}), b"r" * 800))
        self.record.line(f"runner {self.id} answers {id} with 200{', the head is spoiled' if spoils else ''}")


def faults_of(head):
    """Returns the lines of a head that no HTTP message may have."""
    lines = head.rstrip(b"\r\n").split(b"\r\n")
    return [line for line in lines[:1] if not STATUS.fullmatch(line)] + [
        line for line in lines[1:] if not FIELD.fullmatch(line)]


async def call_repeatedly(record, daemon, name, results, malformed, stop):
    client, number = fleet.Client(daemon.front), 0
    while not stop.is_set():
        number += 1
        id = f"{name}-{number:04d}"
        kind = "file" if number % 2 else "view"
        try:
            await client.send("POST" if kind == "file" else "GET", f"/{kind}/1", {
                "Host": "members.example", "Request-Id": id, "Deadline": 3000, "Api-Key": "key-one"},
                b"s" * 600 if kind == "file" else b"")
            head = await asyncio.wait_for(client.reader.readuntil(b"\r\n\r\n"), 4)
            length = int(re.search(rb"content-length: *(\d+)", head, re.I)[1])
            await client.reader.readexactly(length)
        except (asyncio.IncompleteReadError, OSError, asyncio.TimeoutError):
            record.line(f"client: {id}: no answer")
            client.close()
            continue
        status = int(head.split(b" ")[1])
        results[(kind, status)] = results.get((kind, status), 0) + 1
        record.line(f"client: {id}: {status}")
        if faults := faults_of(head):
            record.line(f"client: {id}: {status} with lines that are no header: {faults}")
            if 200 <= status < 300:
                malformed.append(id)
            # A client can't tell what follows such an answer.
            client.close()
        await asyncio.sleep(0.02)


async def main(record, folder):
    store = await fleet.Store().listen()
    store.put("op/config", fleet.configuration(7, [
        fleet.route("sheet-file", "/file/", "unsafe", "registry"),
        fleet.route("sheet-view", "/view/", "safe", "registry")], [{"name": "registry", "healthPath": "/health"}]))
    for i in range(2):
        await fleet.Runner(store, record, f"r{i}", "registry", "east", work_s=0.06).register()
    await SpoilingRunner(store, record, "r2", "registry", "east", work_s=0.06).register()
    daemon = fleet.Daemon(folder, record, "front-east-1", "east", store.address)
    results, malformed, stop = {}, [], asyncio.Event()
    try:
        await daemon.start()
        if not await daemon.wait_until_ready():
            record.say("the daemon isn't ready")
            return fleet.CANNOT_RUN
        callers = [asyncio.create_task(call_repeatedly(record, daemon, f"c{i:02d}", results, malformed, stop))
                   for i in range(CLIENTS)]
        await asyncio.sleep(PLAYED_S)
        stop.set()
        await asyncio.wait(callers, timeout=6)
    finally:
        await daemon.end()
    record.say(f"answers: {', '.join(f'{kind} {status}: {n}' for (kind, status), n in sorted(results.items()))}")
    record.say(f"successes that are no answer in the protocol: {len(malformed)} ({', '.join(malformed[:5])})")
    return fleet.BROKEN if malformed else fleet.HOLDS


if __name__ == "__main__":
    fleet.run_case(FOLDER, main)

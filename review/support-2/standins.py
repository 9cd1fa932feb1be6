"""Stand-ins of the platform, its runners and its clients on loopback, for the scripts of the second review.

Everything runs on one event loop in the process of the script; the daemon runs as a process of its own.
"""
import asyncio
import base64
import json
import os
import pathlib
import random
import re
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
SEAL = "c4.19.stand-in"
REASONS = {200: "OK", 202: "Accepted", 404: "Not Found", 409: "Conflict", 410: "Gone", 412: "Precondition Failed",
    421: "Misdirected Request", 500: "Internal Server Error", 503: "Service Unavailable"}


class CannotRun(Exception):
    """The case could not be run, so that it says nothing."""


class Record:
    """What was sent, answered and run, with the seconds since the start."""

    def __init__(self, path):
        self.began = time.monotonic()
        self.file = open(path, "w")

    def __call__(self, text):
        self.file.write(f"{time.monotonic() - self.began:8.3f}  {text}\n")
        self.file.flush()


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class Request:
    def __init__(self, method, target, headers, body):
        self.method, self.target, self.headers, self.body = method, target, headers, body
        split = urllib.parse.urlsplit(target)
        self.path, self.query = split.path, dict(urllib.parse.parse_qsl(split.query))


async def read_head(reader):
    """Returns the first line and the fields of a message, or None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    """Reads a body that has a length or chunks."""
    if "chunked" in headers.get("transfer-encoding", "").lower():
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            piece = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += piece[:-2]
    return await reader.readexactly(int(headers.get("content-length", "0")))


async def read_request(reader):
    head = await read_head(reader)
    if not head:
        return None
    method, target, _ = head[0].split(" ", 2)
    return Request(method, target, head[1], await read_body(reader, head[1]))


def response_bytes(status, headers, body=b""):
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if "Transfer-Encoding" not in headers and "Connection" not in headers:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Server:
    """A listener on loopback whose connections are handled by `serve(request, reader, writer)`.

    `serve` returns whether the connection is kept.
    """

    def __init__(self, serve, port=0):
        self.serve, self.port, self.writers, self.listener = serve, port, set(), None

    async def start(self):
        self.listener = await asyncio.start_server(self.connected, "127.0.0.1", self.port, backlog=1024)
        self.port = self.listener.sockets[0].getsockname()[1]
        return self

    @property
    def address(self):
        return f"127.0.0.1:{self.port}"

    async def connected(self, reader, writer):
        self.writers.add(writer)
        try:
            while request := await read_request(reader):
                if not await self.serve(request, reader, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def stop(self):
        self.listener.close()
        for writer in list(self.writers):
            writer.transport.abort()


class Store:
    """The platform's store: items, watches, transactions and leases."""

    def __init__(self):
        self.items, self.history, self.revision, self.leases, self.lease = {}, [], 100, {}, 0
        self.changed = asyncio.Condition()
        self.server = Server(self.serve)

    async def start(self):
        await self.server.start()
        return self

    async def put(self, key, value, lease=0):
        self.revision += 1
        item = {"key": key, "value": base64.b64encode(value).decode(), "revision": self.revision,
            "created": self.items.get(key, {}).get("created", self.revision), "lease": lease}
        self.items[key] = item
        self.history.append(item)
        async with self.changed:
            self.changed.notify_all()

    async def remove(self, key):
        if self.items.pop(key, None) is None:
            return
        self.revision += 1
        self.history.append({"key": key, "revision": self.revision, "removed": True})
        async with self.changed:
            self.changed.notify_all()

    def events(self, prefix, after):
        return [event for event in self.history if event["revision"] > after and event["key"].startswith(prefix)]

    async def watch(self, query):
        prefix, after = query["prefix"], int(query["after"])
        end = time.monotonic() + int(query["waitMs"]) / 1000
        async with self.changed:
            while not self.events(prefix, after) and (left := end - time.monotonic()) > 0:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        return {"events": self.events(prefix, after), "asOf": self.revision}

    async def transact(self, body):
        current = lambda key: self.items.get(key, {}).get("revision", 0)
        if any(current(row["key"]) != row["revision"] for row in body.get("expected", [])):
            return 412, {"items": [self.items[row["key"]] for row in body["expected"] if row["key"] in self.items]}
        for put in body.get("puts", []):
            if put.get("lease") and put["lease"] not in self.leases:
                return 404, {}
        for put in body.get("puts", []):
            await self.put(put["key"], base64.b64decode(put["value"]), put.get("lease", 0))
        for key in body.get("remove", []):
            await self.remove(key)
        return 200, {"revision": self.revision}

    async def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [key for key, item in self.items.items() if item["lease"] == lease]:
            await self.remove(key)

    async def expire(self):
        for lease in [lease for lease, (_, end) in self.leases.items() if end < time.monotonic()]:
            await self.end_lease(lease)

    async def answer(self, request):
        await self.expire()
        body = json.loads(request.body) if request.body else {}
        if request.path == "/v1/kv-key":
            item = self.items.get(request.query["key"])
            return (200, dict(item, asOf=self.revision)) if item else (404, {"asOf": self.revision})
        if request.path == "/v1/kv-range":
            prefix, after = request.query["prefix"], request.query.get("after", "")
            items = [self.items[key] for key in sorted(self.items) if key.startswith(prefix) and key > after]
            return 200, {"items": items[:500], "hasMore": len(items) > 500, "asOf": self.revision}
        if request.path == "/v1/kv-watch":
            return 200, await self.watch(request.query)
        if request.path == "/v1/kv-txn":
            return await self.transact(body)
        if request.path == "/v1/kv-lease":
            self.lease += 1
            self.leases[self.lease] = (body["ttlMs"], time.monotonic() + body["ttlMs"] / 1000)
            return 200, {"lease": self.lease, "ttlMs": body["ttlMs"]}
        lease = int(request.path.rsplit("/", 1)[-1])
        if lease not in self.leases:
            return 404, {}
        if request.path.startswith("/v1/kv-keep/"):
            ttl = self.leases[lease][0]
            self.leases[lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {"lease": lease, "ttlMs": ttl}
        await self.end_lease(lease)
        return 200, {}

    async def serve(self, request, _, writer):
        status, body = await self.answer(request)
        headers = {"Content-Type": "application/json", "Store-Era": "1"}
        writer.write(response_bytes(status, headers, json.dumps(body).encode()))
        await writer.drain()
        return True


class Runner:
    """A runner of a service that registers itself; `run(request, reader, writer)` does the work of a request."""

    def __init__(self, store, service, run, zone="zone-1", slots=192, id=None, port=0, more=None):
        self.id = id or f"i-{os.urandom(5).hex()}"
        self.store, self.service, self.run, self.zone, self.slots = store, service, run, zone, slots
        self.state, self.born, self.more = "ready", int(time.time() * 1000), more or {}
        self.has_crashed = False
        self.server = Server(self.serve, port)

    async def start(self):
        await self.server.start()
        await self.register()
        return self

    async def register(self):
        entry = {"service": self.service, "address": self.server.address, "zone": self.zone, "version": "1",
            "slots": self.slots, "state": self.state, "coldLeftMs": 0, "seqNo": 1, "born": self.born, **self.more}
        await self.store.put(f"servers/{self.id}", json.dumps(entry).encode())

    async def serve(self, request, reader, writer):
        if request.path == "/v1/report":
            report = {"stage": "both", "models": [], "busy": False, "seqNo": 0, "queueDepth": 0, "inFlight": 0,
                "kvUsed": 0, "kvTotal": 1, "handles": 0, "born": self.born, "pace": 1, **self.more}
            writer.write(response_bytes(200, {"Content-Type": "application/json"}, json.dumps(report).encode()))
            await writer.drain()
            return True
        id = request.headers.get("request-id", "")
        if request.headers.get("target-instance", self.id) != self.id:
            writer.write(response_bytes(421, {"Request-Id": id, "Not-Executed": "1"}))
            await writer.drain()
            return True
        return await self.run(self, request, reader, writer)

    def headers(self, request, **more):
        return {"Request-Id": request.headers.get("request-id", ""), "Server-Seal": SEAL, **more}


class Daemon:
    """The daemon of the deploy file, on settings made from its template."""

    def __init__(self, folder, store, name="front-1", zone="zone-1", bounds=None, memory_mb=182, max_fds=2870):
        self.deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["router"]
        self.front, self.ready, self.peers, self.metrics = (free_port() for _ in range(4))
        self.memory_mb = memory_mb
        fields = {"nodeName": name, "zone": zone, "ip": "127.0.0.1", "internalPorts": [self.peers, self.metrics],
            "listen": {"front": f"127.0.0.1:{self.front}", "ready": f"127.0.0.1:{self.ready}"},
            "platform": {"address": store.server.address},
            "limits": {"memoryMb": memory_mb, "maxFds": max_fds},
            "bounds": {"strictRevoke": True, "revokeMs": 5000, "graceS": 8, "drainMs": 2000, "configMs": 2000,
                "retryBudgetRatio": 0.2, "budgetWindowS": 10, "budgetSlack": 450, **(bounds or {})}}
        self.settings = pathlib.Path(folder) / f"{name}.json"
        self.settings.write_text(self.render((ROOT / self.deploy["template"]).read_text(), fields))
        self.environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        for name, value in self.deploy.get("env", {}).items():
            self.environment[name] = self.render(value, fields)
        self.output = pathlib.Path(folder) / f"{name}.log"
        self.process = None

    @staticmethod
    def render(template, fields):
        def value(match):
            path, _, form = match.group(1).partition("|")
            found = fields
            for step in path.split("."):
                found = found[int(step)] if isinstance(found, list) else found[step]
            return json.dumps(found) if form == "json" else str(found)

        return re.sub(r"\{\{([^}]+)\}\}", value, template)

    def start(self):
        command = self.deploy["run"].split()
        command[-1] = str(self.settings)
        if not (ROOT / command[0]).exists():
            raise CannotRun(f"{command[0]} is missing: run the build of the deploy file first")
        with open(self.output, "a") as output:
            self.process = subprocess.Popen(command, cwd=ROOT, env=self.environment, stdout=output, stderr=output)
        return self

    async def wait_until_ready(self, limit=15):
        end = time.monotonic() + limit
        while time.monotonic() < end:
            try:
                answer = await Client(self.ready).exchange("GET", "/v1/readiness", {"Host": "ready"})
                if answer.status == 200:
                    return self
            except (OSError, EOFError):
                pass
            await asyncio.sleep(0.05)
        raise CannotRun("the daemon doesn't get ready")

    def signal(self, number):
        self.process.send_signal(number)

    def is_running(self):
        return self.process.poll() is None

    def memory(self, field):
        """Returns a field of the process's status in MB, such as VmRSS; 0 if the process has ended."""
        text = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        found = re.search(rf"^{field}:\s+(\d+)", text, re.M)
        return int(found.group(1)) / 1024 if found else 0

    def end(self):
        if self.process and self.is_running():
            self.process.kill()
        if self.process:
            self.process.wait()


class Answer:
    def __init__(self, status, headers, body, whole):
        self.status, self.headers, self.body, self.whole = status, headers, body, whole


class Client:
    """A connection of a client to one port."""

    def __init__(self, port):
        self.port, self.reader, self.writer = port, None, None

    async def connect(self):
        if not self.writer:
            self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port, limit=16_777_216)
        return self

    async def send(self, method, target, headers, body=b""):
        await self.connect()
        lines = [f"{method} {target} HTTP/1.1"] + [f"{name}: {value}" for name, value in headers.items()]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        self.writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        await self.writer.drain()

    async def read(self):
        """Returns the next answer; `whole` tells whether it was complete. Raises EOFError if there is none."""
        head = await read_head(self.reader)
        if not head:
            raise EOFError("the connection ended without an answer")
        status, headers = int(head[0].split(" ")[1]), head[1]
        body, whole = b"", False
        try:
            if "chunked" in headers.get("transfer-encoding", ""):
                while (size := int((await self.reader.readuntil(b"\r\n")), 16)) > 0:
                    body += (await self.reader.readexactly(size + 2))[:-2]
                await self.reader.readuntil(b"\r\n")
            else:
                body = await self.reader.readexactly(int(headers.get("content-length", "0")))
            whole = True
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        return Answer(status, headers, body, whole)

    async def exchange(self, method, target, headers, body=b""):
        await self.send(method, target, headers, body)
        answer = await self.read()
        self.close()
        return answer

    def close(self):
        if self.writer:
            self.writer.close()
            self.writer = None


class SoundService:
    """A plain service of sound runners, and callers that keep their connections and send requests that run once.

    `lost` holds the ids of requests that a runner got, and whose connection ended without an answer.
    """

    ROUTE = {"name": "file", "host": "desk.example", "prefix": "/file/", "service": "desk", "kind": "unsafe",
        "timeoutMs": 1500, "targetLatencyMs": 300, "maxAttempts": 1, "priority": 2}
    SERVICE = {"name": "desk", "healthPath": "/health"}
    RUNNERS, CALLERS, WORK_S = 3, 12, (0.2, 0.4)

    def __init__(self, store, record):
        self.store, self.record, self.ran, self.lost, self.answered, self.tasks = store, record, set(), [], 0, []

    async def start(self):
        for _ in range(self.RUNNERS):
            await Runner(self.store, "desk", self.run, slots=6).start()
        return self

    async def run(self, runner, request, reader, writer):
        self.ran.add(request.headers["request-id"])
        self.record(f"runner {runner.id} runs {request.headers['request-id']}")
        await asyncio.sleep(random.uniform(*self.WORK_S))
        writer.write(response_bytes(200, runner.headers(request), b"y" * 800))
        await writer.drain()
        return True

    def call(self, daemon):
        self.tasks = [asyncio.create_task(self.caller(daemon)) for _ in range(self.CALLERS)]

    async def caller(self, daemon):
        connection, answers = Client(daemon.front), 0
        while daemon.is_running():
            id = request_id()
            try:
                await connection.send("POST", "/file/x", {"Host": "desk.example", "Request-Id": id,
                    "Deadline": "3000"}, b"x" * 600)
                answer = await connection.read()
                answers += 1
                self.answered += 1
                self.record(f"caller of {id} got {answer.status}")
                if answer.headers.get("connection") == "close" or not answer.whole:
                    connection.close()
            except (OSError, EOFError) as failure:
                connection.close()
                if id in self.ran and answers > 0:
                    self.lost.append(id)
                self.record(f"caller of {id} got no answer ({failure!r}); it {'ran' if id in self.ran else 'did not run'}")
            await asyncio.sleep(0.02)

    async def finish(self):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        self.record(f"sound service: {self.answered} requests were answered, {len(self.lost)} ran and got no answer")


async def enforce_memory(daemon, record):
    """Kills the daemon when its resident memory has exceeded that of its machine, as the platform does."""
    highest = 0
    while daemon.is_running():
        memory = daemon.memory("VmHWM")
        if memory >= highest + 5:
            highest = memory
            record(f"the daemon has taken {memory:.0f} MB")
        if memory > daemon.memory_mb:
            record(f"the daemon has taken {memory:.0f} MB of {daemon.memory_mb} MB and is killed")
            daemon.process.kill()
            daemon.process.wait()
            return
        await asyncio.sleep(0.01)


def configuration(version, routes, services, tenants=None, limits=None):
    text = {"version": version, "routes": routes, "services": services,
        "limits": limits or {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 5000,
            "idleTimeoutMs": 30000}}
    if tenants is not None:
        text["tenants"] = tenants
    return json.dumps(text).encode()


def request_id():
    return os.urandom(8).hex()


def run_case(folder, case):
    """Runs `case(record, folder, trouble)`, which returns what broke the rule or None, and exits accordingly."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(pathlib.Path(folder) / "record.txt")
    record(f"trouble: {trouble}")
    try:
        with tempfile.TemporaryDirectory() as temporary:
            broken = asyncio.run(asyncio.wait_for(case(record, temporary, trouble), 115))
    except Exception as failure:  # An error of the script itself says nothing of the rule.
        record(f"could not run: {failure!r}")
        print(f"could not run: {failure!r}", flush=True)
        os._exit(2)
    verdict = f"the rule was broken: {broken}" if broken else "the rule held"
    record(verdict)
    print(verdict, flush=True)
    # Connections that are still open then aren't reported one by one.
    os._exit(1 if broken else 0)

"""Stand-ins for review cases: the platform's store, runners, clients, and daemons started by the deploy file.

Everything listens on loopback. The store and the runners run on the event loop of the script; the daemons are processes.
"""
import asyncio
import base64
import contextvars
import json
import os
import pathlib
import random
import re
import signal
import socket
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOLDS, BROKEN, CANNOT_RUN = 0, 1, 2

# Bounds of the site file sites/saobang-dem.toml.
BOUNDS = {
    "stableMs": 3000, "drainMs": 2000, "graceS": 8, "lossSlackMs": 200, "configMs": 2000, "strictRevoke": True,
    "revokeMs": 5000, "retryBudgetRatio": 0.2, "budgetWindowS": 10, "budgetSlack": 450,
}
MEMORY_MB = 182


class Record:
    """Writes what was sent, answered and run to record.txt in the folder of the case."""

    def __init__(self, folder):
        self.started = time.monotonic()
        self.file = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")

    def line(self, text):
        self.file.write(f"{time.monotonic() - self.started:8.3f} {text}\n")
        self.file.flush()

    def say(self, text):
        self.line(text)
        print(text, flush=True)


# Below the ports that the system gives to outgoing connections.
PORTS = range(20000, 30000)
_given_ports = set()


def free_port():
    while True:
        port = random.choice(PORTS)
        if port in _given_ports:
            continue
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        _given_ports.add(port)
        return port


async def read_message(reader):
    """Returns the first line, the headers (names in lower case) and the body of a request or response with a length or
    chunks; None at the end of the connection."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    if "chunked" in headers.get("transfer-encoding", ""):
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            piece = await reader.readexactly(size + 2)
            if size == 0:
                break
            body += piece[:-2]
    else:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    return lines[0], headers, body


def response(status, headers=None, body=b""):
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class HttpStandin:
    """Serves HTTP/1.1 on a loopback port, one request at a time on a connection."""

    def __init__(self):
        self.port = 0
        self.server = None
        self.tasks = set()
        # The caller of the current request where callers have addresses of their own.
        self.caller = contextvars.ContextVar("caller", default="")

    async def listen_for(self, caller):
        """Serves one more address, which only `caller` uses. Returns it."""
        async def serve(reader, writer):
            self.caller.set(caller)
            await self._serve(reader, writer)

        server = await asyncio.start_server(serve, "127.0.0.1", 0, limit=1 << 20)
        return f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    async def listen(self, port=0):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", port, limit=1 << 20)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def close(self):
        self.server.close()
        for task in list(self.tasks):
            task.cancel()

    @property
    def address(self):
        return f"127.0.0.1:{self.port}"

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            while True:
                line, headers, body = await read_message(reader)
                method, target, _ = line.split(" ", 2)
                keep = await self.handle(method, target, headers, body, writer)
                await writer.drain()
                if keep is False:
                    break
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(task)
            writer.close()

    async def handle(self, method, target, headers, body, writer):
        raise NotImplementedError


class Store(HttpStandin):
    """The platform's metadata store: items, revisions, watches, transactions and leases."""

    def __init__(self):
        super().__init__()
        self.items = {}
        self.revision = 100
        self.changes = []
        self.leases = {}
        self.last_lease = 0
        self.changed = asyncio.Event()
        self.era = 1
        # Callers that get 503.
        self.turned_away = set()

    def _notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, key, value, lease=0):
        if isinstance(value, dict):
            value = json.dumps(value).encode()
        self.revision += 1
        created = self.items[key]["created"] if key in self.items else self.revision
        self.items[key] = {
            "key": key, "value": base64.b64encode(value).decode(), "revision": self.revision, "created": created,
            "lease": lease,
        }
        self.changes.append(dict(self.items[key]))
        self._notify()

    def remove(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.changes.append({"key": key, "revision": self.revision, "removed": True})
            self._notify()

    def copy(self):
        return {key: dict(item) for key, item in self.items.items()}, self.revision, dict(self.leases)

    async def go_away(self):
        """Ends all connections and answers nothing until `come_back`."""
        await self.close()
        await self.server.wait_closed()

    async def come_back(self, copy):
        """Answers again, from an older copy; revisions go back and the era rises."""
        self.items, self.revision, self.leases = copy
        self.changes = [change for change in self.changes if change["revision"] <= self.revision]
        self.era += 1
        await self.listen(self.port)

    def _end_leases(self):
        now = time.monotonic()
        for lease in [lease for lease, (_, end) in self.leases.items() if now >= end]:
            del self.leases[lease]
            for key in [key for key, item in self.items.items() if item["lease"] == lease]:
                self.remove(key)

    def _answer(self, writer, status, body):
        writer.write(response(status, {"Content-Type": "application/json", "Store-Era": self.era},
                              json.dumps(body).encode()))

    async def handle(self, method, target, headers, body, writer):
        self._end_leases()
        if self.caller.get() in self.turned_away:
            return self._answer(writer, 503, {})
        url = urllib.parse.urlsplit(target)
        query = {name: values[0] for name, values in urllib.parse.parse_qs(url.query).items()}
        if url.path == "/v1/kv-range":
            found = [item for key, item in sorted(self.items.items())
                     if key.startswith(query["prefix"]) and key > query.get("after", "")]
            self._answer(writer, 200, {"items": found[:500], "hasMore": len(found) > 500, "asOf": self.revision})
        elif url.path == "/v1/kv-key":
            item = self.items.get(query["key"])
            self._answer(writer, 200 if item else 404, dict(item or {}, asOf=self.revision))
        elif url.path == "/v1/kv-watch":
            await self._watch(query["prefix"], int(query["after"]), int(query["waitMs"]) / 1000, writer)
        elif url.path == "/v1/kv-txn":
            self._commit(json.loads(body), writer)
        elif url.path == "/v1/kv-lease":
            self.last_lease += 1
            ttl = json.loads(body)["ttlMs"]
            self.leases[self.last_lease] = (ttl, time.monotonic() + ttl / 1000)
            self._answer(writer, 200, {"lease": self.last_lease, "ttlMs": ttl})
        elif url.path.startswith("/v1/kv-keep/"):
            lease = int(url.path.rsplit("/", 1)[1])
            if lease in self.leases:
                ttl = self.leases[lease][0]
                self.leases[lease] = (ttl, time.monotonic() + ttl / 1000)
                self._answer(writer, 200, {"lease": lease, "ttlMs": ttl})
            else:
                self._answer(writer, 404, {})
        elif url.path.startswith("/v1/kv-lease-end/"):
            lease = int(url.path.rsplit("/", 1)[1])
            known = lease in self.leases
            if known:
                self.leases[lease] = (0, 0)
                self._end_leases()
            self._answer(writer, 200 if known else 404, {})
        else:
            self._answer(writer, 404, {})

    async def _watch(self, prefix, after, wait, writer):
        end = time.monotonic() + wait
        while True:
            self._end_leases()
            if self.caller.get() in self.turned_away:
                return self._answer(writer, 503, {})
            if after > self.revision:
                return self._answer(writer, 410, {})
            events = [c for c in self.changes if c["revision"] > after and c["key"].startswith(prefix)]
            left = end - time.monotonic()
            if events or left <= 0:
                return self._answer(writer, 200, {"events": events, "asOf": self.revision})
            try:
                await asyncio.wait_for(self.changed.wait(), min(left, 0.5))
            except asyncio.TimeoutError:
                pass

    def _commit(self, transaction, writer):
        for row in transaction["expected"]:
            known = self.items.get(row["key"])
            if (known["revision"] if known else 0) != row["revision"]:
                return self._answer(writer, 412, {"items": [known] if known else []})
        for row in transaction["puts"]:
            if row.get("lease") and row["lease"] not in self.leases:
                return self._answer(writer, 404, {})
        for row in transaction["puts"]:
            self.put(row["key"], base64.b64decode(row["value"]), row.get("lease", 0))
        for key in transaction["remove"]:
            self.remove(key)
        self._answer(writer, 200, {"revision": self.revision})


class Runner(HttpStandin):
    """A sound runner of a plain service: runs each request for a while and answers it once."""

    def __init__(self, store, record, id, service, zone, work_s=0.06, slots=6):
        super().__init__()
        self.store, self.record, self.id, self.service, self.zone = store, record, id, service, zone
        self.work_s, self.slots = work_s, slots
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.running = 0
        self.ran = []
        self.ended = []
        self.beating = None
        self.sequence = 0

    def entry(self):
        self.sequence += 1
        return {"service": self.service, "address": self.address, "zone": self.zone, "version": "v1",
                "slots": self.slots, "state": self.state, "coldLeftMs": 0, "seqNo": self.sequence, "born": self.born}

    async def register(self):
        await self.listen()
        self.store.put(f"servers/{self.id}", self.entry())
        self.beating = asyncio.create_task(self._beat())
        return self

    async def _beat(self):
        while True:
            await asyncio.sleep(1.2)
            self.store.put(f"servers/{self.id}", self.entry())

    async def handle(self, method, target, headers, body, writer):
        echo = {"Request-Id": headers["request-id"]} if "request-id" in headers else {}
        if "target-instance" in headers and headers["target-instance"] != self.id:
            writer.write(response(421, echo))
        elif target == "/health":
            writer.write(response(200, {"Instance-Id": self.id, "Server-Load": f"{self.running},0,{self.slots}"}))
        elif target == "/v1/report":
            writer.write(response(200, {"Content-Type": "application/json"}, json.dumps(self.report()).encode()))
        else:
            return await self.run(method, target, headers, body, writer, echo)
        return None

    def report(self):
        return {"stage": "both", "models": [], "born": self.born, "busy": False, "seqNo": 0, "queueDepth": 0,
                "inFlight": self.running, "kvUsed": 0, "kvTotal": 0, "handles": 0}

    async def run(self, method, target, headers, body, writer, echo):
        if self.running >= self.slots:
            self.record.line(f"runner {self.id} refuses {headers['request-id']} (full)")
            writer.write(response(503, dict(echo, **{"Not-Executed": "1"})))
            return None
        id = headers["request-id"]
        self.ran.append(id)
        self.running += 1
        self.record.line(f"runner {self.id} runs {method} {target} {id}")
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
        self.ended.append(id)
        writer.write(response(200, dict(echo, **{"Server-Seal": f"{self.id}.{id}",
                                                 "Server-Load": f"{self.running},0,{self.slots}"}), b"r" * 800))
        self.record.line(f"runner {self.id} answers {id} with 200")
        return None


def render(template, fields):
    def value(match):
        path, _, form = match.group(1).partition("|")
        found = fields
        for step in path.split("."):
            found = found[int(step)] if isinstance(found, list) else found[step]
        return json.dumps(found) if form == "json" else str(found)

    return re.sub(r"\{\{([^}]+)\}\}", value, template)


class Daemon:
    """A process of the deploy file's role, with settings that are made from its template."""

    def __init__(self, folder, record, name, zone, store_address):
        self.folder, self.record, self.name, self.zone = folder, record, name, zone
        self.store_address = store_address
        self.front = self.ready = self.peer = self.metrics = 0
        self.process = None

    async def start(self):
        self.front, self.ready, self.peer, self.metrics = (free_port() for _ in range(4))
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = deploy["roles"]["router"]
        fields = {
            "nodeName": self.name, "zone": self.zone, "ip": "127.0.0.1", "internalPorts": [self.peer, self.metrics],
            "listen": {"front": f"127.0.0.1:{self.front}", "ready": f"127.0.0.1:{self.ready}"},
            "platform": {"address": self.store_address}, "bounds": BOUNDS,
        }
        settings = pathlib.Path(self.folder) / f"{self.name}.json"
        settings.write_text(render((ROOT / role["template"]).read_text(), fields))
        command = role["run"].split()
        command[-1] = str(settings)
        self.log = open(pathlib.Path(self.folder) / f"{self.name}.log", "ab")
        self.process = await asyncio.create_subprocess_exec(*command, cwd=ROOT, stdout=self.log, stderr=self.log)
        self.record.line(f"daemon {self.name} starts as process {self.process.pid}")
        return self

    async def probe(self):
        try:
            status, _, _ = await asyncio.wait_for(
                Client(self.ready).request("GET", "/v1/readiness", {"Host": "ready"}), 1)
            return status
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return None

    async def wait_until_ready(self, limit_s=15):
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            if await self.probe() == 200:
                return True
            await asyncio.sleep(0.1)
        return False

    def signal(self, *numbers):
        for number in numbers:
            os.kill(self.process.pid, number)
        names = ", ".join(signal.Signals(number).name for number in numbers)
        self.record.line(f"daemon {self.name} gets {names}")

    def resident_mb(self):
        try:
            for line in pathlib.Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
                if line.startswith("VmRSS:"):
                    return int(line.split()[1]) / 1024
        except OSError:
            pass
        return 0

    async def end(self):
        if self.process and self.process.returncode is None:
            try:
                self.process.kill()
            except ProcessLookupError:
                pass
            await self.process.wait()


class Client:
    """A connection of a client that is kept open."""

    def __init__(self, port):
        self.port = port
        self.reader = self.writer = None

    async def connect(self):
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port, limit=1 << 20)
        return self

    async def send(self, method, path, headers, body=b""):
        if not self.writer or self.writer.is_closing():
            await self.connect()
        lines = [f"{method} {path} HTTP/1.1"] + [f"{name}: {value}" for name, value in headers.items()]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        self.writer.write(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body)
        await self.writer.drain()

    async def request(self, method, path, headers, body=b""):
        await self.send(method, path, headers, body)
        line, answered, content = await read_message(self.reader)
        if answered.get("connection", "").lower() == "close":
            self.close()
        return int(line.split(" ")[1]), answered, content

    def close(self):
        if self.writer:
            self.writer.close()
        self.reader = self.writer = None


def route(name, prefix, kind, service, **changes):
    base = {"name": name, "host": "members.example", "prefix": prefix, "kind": kind, "service": service,
            "timeoutMs": 1500, "targetLatencyMs": 300, "priority": 2, "maxAttempts": 1 if kind == "unsafe" else 2,
            "public": False, "resumable": False, "sticky": False}
    return dict(base, **changes)


def configuration(version, routes, services, keys=("key-one",)):
    return {"version": version, "routes": routes, "services": services,
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 5000,
                       "idleTimeoutMs": 30000},
            "tenants": [{"name": "tenant-one", "apiKeys": list(keys)}]}


def run_case(folder, main):
    """Runs `main(record, folder)` for 110 seconds at most and ends with its verdict."""
    daemon = ROOT / "target/bin/fuchsialbd"
    if not daemon.exists():
        print("target/bin/fuchsialbd is missing: run the build of deploy/system.toml first")
        sys.exit(CANNOT_RUN)
    record = Record(folder)
    with tempfile.TemporaryDirectory() as temporary:
        async def bounded():
            return await asyncio.wait_for(main(record, temporary), 110)
        try:
            verdict = asyncio.run(bounded())
        except Exception as failure:  # pylint: disable=broad-except
            record.say(f"the case could not run: {failure!r}")
            verdict = CANNOT_RUN
    record.say({HOLDS: "verdict: the rule held", BROKEN: "verdict: the rule was broken",
                CANNOT_RUN: "verdict: could not run"}[verdict])
    sys.exit(verdict)

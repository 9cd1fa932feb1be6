"""While the store turns away the hosts that read it for the others, calm hosts handle requests by an old configuration.

Eighteen daemons in three zones. The store answers six of them, the two lowest ids of each zone, with 503 for nine seconds,
three times, and serves the others and the operator. Meanwhile the operator moves a route between two services. The requests of
the check go to machines that the store serves, later than `configMs` after the acknowledgement.
"""
import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))
import fleet  # noqa: E402

ZONES = ("east", "mid", "west")
HOSTS = 6
TURNED_AWAY = 2
WINDOWS = 3
WINDOW_S = 9.0
PAUSE_S = 5.0
# Changes, in seconds from the begin of a window; each is watched until the next one.
CHANGES = (3.1, 6.3)
WATCHED_S = 3.1


class Check:
    def __init__(self):
        self.runs, self.stale = 0, []


async def send(record, daemon, id, acknowledged_at, service, runners, check):
    sent = time.monotonic() - acknowledged_at
    client = fleet.Client(daemon.front)
    status = 0
    try:
        status, _, _ = await asyncio.wait_for(client.request("POST", "/file/1", {
            "Host": "members.example", "Request-Id": id, "Deadline": 3000, "Api-Key": "key-one"}, b"s" * 600), 4)
    except (asyncio.IncompleteReadError, OSError, asyncio.TimeoutError):
        pass
    client.close()
    ran = [runner for runner in runners if id in runner.ran]
    check.runs += len(ran)
    is_stale = any(runner.service != service for runner in ran)
    record.line(f"client: {id}, sent {sent:.3f} s after the acknowledgement: {status}, "
                f"run by {[runner.service for runner in ran]}, in force is {service}")
    if is_stale and sent > fleet.BOUNDS["configMs"] / 1000:
        check.stale.append((daemon.name, round(sent, 2)))


async def main(record, folder):
    store = await fleet.Store().listen()

    def configuration(version, service):
        return fleet.configuration(version, [fleet.route("sheet-file", "/file/", "unsafe", service)],
                                   [{"name": name, "healthPath": "/health"} for name in ("first", "second")])

    store.put("op/config", configuration(7, "first"))
    runners = [await fleet.Runner(store, record, f"r-{service}-{i}", service, zone, work_s=0.02, slots=12).register()
               for service in ("first", "second") for i, zone in enumerate(ZONES)]
    daemons = []
    for zone in ZONES:
        for i in range(HOSTS):
            name = f"front-{zone}-{i + 1}"
            daemons.append(fleet.Daemon(folder, record, name, zone, await store.listen_for(name)))
    readers = {f"front-{zone}-{i + 1}" for zone in ZONES for i in range(TURNED_AWAY)}
    calm = [daemon for daemon in daemons if daemon.name not in readers]
    check, number, version, service = Check(), 0, 7, "first"
    pending = set()
    try:
        for daemon in daemons:
            await daemon.start()
        for daemon in daemons:
            if not await daemon.wait_until_ready():
                record.say(f"{daemon.name} isn't ready")
                return fleet.CANNOT_RUN
        await asyncio.sleep(fleet.BOUNDS["stableMs"] / 1000 + 2)
        for window in range(WINDOWS):
            begun = time.monotonic()
            if fleet.TROUBLE:
                store.turned_away = set(readers)
                store._notify()  # pylint: disable=protected-access
                record.line(f"store: turns away {sorted(readers)}")
            for at in CHANGES:
                await asyncio.sleep(max(0, begun + at - time.monotonic()))
                version += 3
                service = "second" if service == "first" else "first"
                store.put("op/config", configuration(version, service))
                acknowledged_at = time.monotonic()
                record.line(f"operator: version {version} moves the route to {service}")
                while time.monotonic() - acknowledged_at < WATCHED_S:
                    if time.monotonic() - acknowledged_at > fleet.BOUNDS["configMs"] / 1000:
                        for daemon in calm:
                            number += 1
                            task = asyncio.create_task(send(
                                record, daemon, f"{daemon.name}-{number:05d}", acknowledged_at, service, runners, check))
                            pending.add(task)
                            task.add_done_callback(pending.discard)
                    await asyncio.sleep(0.1)
            await asyncio.sleep(max(0, begun + WINDOW_S - time.monotonic()))
            store.turned_away = set()
            record.line("store: serves all")
            if window + 1 < WINDOWS:
                await asyncio.sleep(PAUSE_S)
        if pending:
            await asyncio.wait(pending, timeout=5)
    finally:
        for daemon in daemons:
            await daemon.end()
    record.say(f"runs: {check.runs}; by the old service, sent over {fleet.BOUNDS['configMs']} ms after the "
               f"acknowledgement: {len(check.stale)} at {len({name for name, _ in check.stale})} calm daemons"
               + (f", the last {max(sent for _, sent in check.stale):.2f} s after it" if check.stale else ""))
    return fleet.BROKEN if check.stale else fleet.HOLDS


if __name__ == "__main__":
    fleet.run_case(FOLDER, main)

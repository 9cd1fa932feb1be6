"""Another writer keeps writing unreadable entries into the registry; requests to sound runners are lost."""
import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "support-2"))
from standins import *  # noqa: E402,F403

MEMORY_MB = 112
ALLOWED = 3
ENTRIES = 2
ENTRY_BYTES = 1_048_576
HEARTBEAT_S = 1.2
TRAFFIC_S = 85
# What the store keeps of its history, at least 20 s.
HISTORY_S = 20


async def main(record, folder, trouble):
    store = await Store().start()

    sound = await SoundService(store, record).start()
    await store.put("op/config", configuration(1, [SoundService.ROUTE], [SoundService.SERVICE]))
    daemon = Daemon(folder, store, memory_mb=MEMORY_MB).start()

    async def write_entries():
        while True:
            for number in range(ENTRIES):
                await store.put(f"servers/other-{number}", os.urandom(ENTRY_BYTES))
            record(f"{ENTRIES} entries of {ENTRY_BYTES} bytes were written")
            del store.history[:-int(ENTRIES * HISTORY_S / HEARTBEAT_S)]
            await asyncio.sleep(HEARTBEAT_S)

    try:
        await daemon.wait_until_ready()
        memory = asyncio.create_task(enforce_memory(daemon, record))
        sound.call(daemon)
        await asyncio.sleep(2)
        writer = asyncio.create_task(write_entries()) if trouble else None
        end = time.monotonic() + TRAFFIC_S
        while time.monotonic() < end and daemon.is_running():
            await asyncio.sleep(0.1)
        if writer:
            writer.cancel()
        await asyncio.sleep(0.5)
        await sound.finish()
        lost = len(sound.lost)
        return f"{lost} requests that sound runners ran got no answer" if lost > ALLOWED else None
    finally:
        daemon.end()


run_case(FOLDER, main)

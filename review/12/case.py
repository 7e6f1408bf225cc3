"""A session writes to one service, then to another one while its route points there, and
reads from the first one again after the route has been moved back.
"""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "stand-ins-3"))

from standin import CannotRun, Client, keep_reading, main, now, text_of  # noqa: E402

# The lag of the replicas, which are usually 20 ms behind: `replica_lag` with x = 90.
LAG_S = 1.8
# The most tries; each takes about two seconds.
TRIES = 12
# The least time between two versions: `config_storm` sends one each 0.33 s.
GAP_S = 0.35
# The other sessions, half of them at each host.
READERS = 10
TENANTS = {"tenant-a": ["key-a"]}


async def wait_route(world, service, probe):
    """Waits until statements on the route run at `service`."""
    until = now() + 3
    while now() < until:
        answer = await probe.query("READ probe")
        ran = [run for run in world.services[service].runs if run[1] == answer.id]
        if ran:
            return
        await asyncio.sleep(0.02)


async def case(world, trouble):
    await world.start({"svc-a": 3, "svc-b": 3}, 2)
    steady = ("steady", "read_own_writes", "svc-a")
    first = [("ledger", "read_own_writes", "svc-a"), steady]
    second = [("ledger", "read_own_writes", "svc-b"), steady]
    world.configure(first, TENANTS)
    if not await world.start_hosts():
        raise CannotRun("hosts are not ready")
    host = world.hosts["edge-2"]
    probe = Client(world.record, host.front, "ledger", "key-a")
    if not await probe.open():
        raise CannotRun("no session")
    for _ in range(100):
        if (await probe.query("WRITE start up")).ok:
            break
        await asyncio.sleep(0.1)
    else:
        raise CannotRun("no write was served")
    # Other sessions keep the members of the first service busy.
    for number in range(READERS):
        front = world.hosts[f"edge-{1 + number % 2}"].front
        asyncio.ensure_future(keep_reading(world.record, front, "steady", "key-a", 50))
    # Positions of the primary have to be known for some time before replicas are used.
    await asyncio.sleep(3)
    for number in range(TRIES):
        if trouble:
            for member in world.services["svc-a"].members.values():
                member.lag = LAG_S
            world.record.line(f"LAG replicas of svc-a apply {LAG_S} s late")
        session = Client(world.record, host.front, "ledger", "key-a")
        if not await session.open():
            raise CannotRun("no session")
        written = await session.query(f"WRITE item value-{number}")
        if written.ok:
            acknowledged = world.services["svc-a"].commits[written.id]
            if trouble:
                world.configure(second, TENANTS)
                changed = now()
                await wait_route(world, "svc-b", probe)
                await session.query(f"WRITE item other-{number}")
                await asyncio.sleep(max(0.0, changed + GAP_S - now()))
                world.configure(first, TENANTS)
                await wait_route(world, "svc-a", probe)
            for _ in range(20):
                read = await session.query("READ item")
                for member, query, _, _, position, _ in world.services["svc-a"].runs:
                    if query == read.id and read.ok and position < acknowledged:
                        world.record.line(
                            f"STALE id {read.id} ran at {member} with log {text_of(position)}, "
                            f"the session's commit {text_of(acknowledged)} was acknowledged "
                            f"{read.sent - written.done:.3f} s before"
                        )
                        return True
                await asyncio.sleep(0.02)
        session.close()
        for member in world.services["svc-a"].members.values():
            member.lag = 0.02
        await asyncio.sleep(1)
    return False


main(FOLDER, case)

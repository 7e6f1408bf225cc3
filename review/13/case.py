"""A zone with a primary and half of the hosts is cut off and is back right after the
coordinator has replaced the primary, while the store is slow.
"""

import asyncio
import os
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "stand-ins-3"))

import cuts  # noqa: E402
from cuts import LINKS  # noqa: E402
from standin import CannotRun, Client, main, now, text_of  # noqa: E402

TENANTS = {"tenant-a": ["key-a"]}
# `platform_slow` with x = 50, its default: answers that take 4 ms take 200 ms.
SLOW_S = 0.196
# How long after the record of the new primary was written the cut ends.
AFTER_S = float(os.environ.get("AFTER", "0.05"))
# A zone is cut off for this long at most.
CUT_S = 6.1
TRIES = 9


async def connect(world, host):
    client = Client(world.record, host.front, "ledger", "key-a")
    for _ in range(100):
        if await client.open() and (await client.query("WRITE item start")).ok:
            return client
        client.close()
        await asyncio.sleep(0.1)
    raise CannotRun("no write was served")


class Trial:
    def __init__(self, world, service):
        self.world, self.service = world, service
        self.acknowledged, self.stale, self.number = [], [], 0

    async def write(self, host):
        while True:
            client = Client(self.world.record, host.front, "ledger", "key-a")
            usable = await client.open()
            while usable:
                self.number += 1
                answer = await client.query(f"WRITE item new-{self.number}", 2)
                if answer.ok:
                    self.acknowledged.append((answer.done, self.service.commits[answer.id]))
                usable = answer.state is not None
                await asyncio.sleep(0.02)
            client.close()
            await asyncio.sleep(0.02)

    async def read(self, host):
        while True:
            client = Client(self.world.record, host.front, "ledger", "key-a")
            usable = await client.open(1)
            while usable:
                answer = await client.query("READ item", 2)
                usable = answer.state is not None
                if answer.ok:
                    self.check(answer)
                await asyncio.sleep(0.01)
            client.close()
            await asyncio.sleep(0.02)

    def check(self, answer):
        before = [position for at, position in self.acknowledged if at < answer.sent]
        for member, query, _, _, position, _ in self.service.runs:
            if query == answer.id and before and position < max(before):
                self.stale.append(answer.id)
                self.world.record.line(
                    f"STALE id {answer.id} ran at {member} with log {text_of(position)}; "
                    f"{text_of(max(before))} was acknowledged before it was sent"
                )


async def case(world, trouble):
    cuts.use()
    world.store = cuts.CutStore(world.record)
    await world.start({"svc-a": 3}, 6)
    await cuts.prepare(world)
    world.configure([("ledger", "primary", "svc-a")], TENANTS)
    if not await world.start_hosts():
        raise CannotRun("hosts are not ready")
    service = world.services["svc-a"]
    for host in world.hosts.values():
        (await connect(world, host)).close()
    for _ in range(TRIES):
        await asyncio.sleep(3)
        duty = world.store.value("burdockslip/duty") or b""
        holder = next((name for name in world.hosts if name.encode() in duty), None)
        if holder is None:
            continue
        old = service.primary()
        inside = [name for name in world.hosts if name != holder][:3]
        outside = [name for name in world.hosts if name not in inside]
        members = [name for name in service.members if name != old.name]
        trial = Trial(world, service)
        tasks = [asyncio.ensure_future(trial.write(world.hosts[holder]))]
        tasks += [asyncio.ensure_future(trial.read(world.hosts[name])) for name in inside * 2]
        if trouble:
            world.store.slow = SLOW_S
            LINKS.cut([*inside, old.name], [*outside, *members, "store"])
            world.record.line(f"CUT {inside} {old.name}")
        end = now() + CUT_S
        while trouble and service.primary() is old and now() < end:
            await asyncio.sleep(0.002)
        promoted = now()
        while trouble and world.store.group_written < promoted and now() < end:
            await asyncio.sleep(0.002)
        await asyncio.sleep(AFTER_S)
        LINKS.heal()
        world.record.line("HEALED")
        await asyncio.sleep(1.5)
        world.store.slow = 0.0
        for task in tasks:
            task.cancel()
        if trial.stale:
            return True
        await asyncio.sleep(2)
    return False


main(FOLDER, case)

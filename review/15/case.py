"""Commits transactions whose clients have set session values that no statement followed."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "stand-ins-3"))

from standin import CannotRun, Client, main  # noqa: E402

TRIES = 10
TENANTS = {"tenant-a": ["key-a"]}


def differing(world, answer, values):
    """Returns the values under which a statement ran if they are not the client's."""
    for _, query, _, _, _, known in world.services["svc-a"].runs:
        if query == answer.id and known != values:
            return known
    return None


async def case(world, trouble):
    await world.start({"svc-a": 3}, 2)
    world.configure([("ledger", "primary", "svc-a")], TENANTS)
    if not await world.start_hosts():
        raise CannotRun("hosts are not ready")
    front = world.hosts["edge-1"].front
    other, session = (Client(world.record, front, "ledger", "key-a") for _ in range(2))
    if not (await other.open() and await session.open()):
        raise CannotRun("no session")
    for _ in range(100):
        if (await other.query("WRITE start up")).ok:
            break
        await asyncio.sleep(0.1)
    else:
        raise CannotRun("no write was served")
    await other.query("SET caller other")
    is_broken = False
    for number in range(TRIES):
        # The connection to the member has the values of the other session from here on.
        await other.query("READ item")
        values = {"caller": f"session-{number}"}
        await session.query(f"SET caller {values['caller']}")
        await session.query("BEGIN")
        if not trouble:
            await session.query("READ item")
        empty = await session.query("COMMIT")
        await session.query("BEGIN")
        await session.query(f"WRITE item value-{number}")
        if trouble:
            values = {"caller": f"last-{number}"}
            await session.query(f"SET caller {values['caller']}")
        written = await session.query("COMMIT")
        for answer, of in ((empty, {"caller": f"session-{number}"}), (written, values)):
            known = differing(world, answer, of)
            if answer.ok and known is not None:
                is_broken = True
                world.record.line(f"PINNED id {answer.id} ran with {known}, acknowledged were {of}")
    return is_broken


main(FOLDER, case)

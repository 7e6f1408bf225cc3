import os, sys, threading, time
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
from standins import World, Client, main, now, record, spawn

DRAIN_S = 7.0
CONTACT_S = 4.0


def run(with_trouble):
    world = World(3, promote_s=0.3, aim_ms=400)
    try:
        if not world.wait_ready():
            return None
        time.sleep(2)
        group, store = world.group, world.store
        stop, answers = threading.Event(), []

        def ask(host, number):
            session, count = None, 0
            while not stop.is_set():
                count += 1
                ident = f"x{host[-1]}{number}n{count}"
                text = f"WRITE {ident} data" if number == 0 else "READ item"
                database = "strong" if number == 0 else "own"
                sent = now()
                try:
                    if session is None:
                        session = Client(world.hosts[host].front, database, "key-a")
                    _, result, _ = session.query(ident, text)
                    answers.append((sent, number, result.startswith("COMPLETE sig")))
                    record(f"client {ident}: {result[:60]}")
                except OSError as error:
                    answers.append((sent, number, False))
                    record(f"client {ident}: {error!r}")
                    session = None
                    time.sleep(0.1)
                time.sleep(0.05)

        for host in world.hosts:
            for number in range(3):
                spawn(ask, host, number)
        time.sleep(2)
        # A change in the store, so that all watches have just been sent anew.
        group.members["i-3"].sequence += 100
        group.members["i-3"].write_record()
        time.sleep(0.6)
        if with_trouble:
            store.server.silence()
            record("trouble: open connections to the store go silent, new ones work")
        time.sleep(CONTACT_S + 0.2)
        drained = {}
        # Half of the members, one at a time, each second.
        for number, name in enumerate(["i-2", "i-1"]):
            group.add(f"i-{number + 4}")
            time.sleep(0.2)
            drained[name] = group.report_draining(name)
            time.sleep(0.8)
        for name in drained:
            time.sleep(max(0, drained[name] + DRAIN_S + 0.6 - now()))
            group.leave(name)
        left = now()
        time.sleep(20)
        stop.set()
        late = [
            (at, name, ident)
            for at, name, ident, _, _ in group.runs
            if name in drained and at > drained[name] + DRAIN_S
        ]
        for name in drained:
            entries = [e for e in late if e[1] == name]
            if entries:
                record(
                    f"broken: {len(entries)} requests reached {name} up to "
                    f"{entries[-1][0] - drained[name]:.2f} s after its report"
                )
        writes = [ok for sent, number, ok in answers if number == 0 and sent > left + 5]
        record(f"from 5 s after the release: {sum(writes)} of {len(writes)} writes served")
        return not late
    finally:
        world.close()


main(run)

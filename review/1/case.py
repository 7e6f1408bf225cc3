import sys, os, threading, time
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
import standins as s
from standins import World, Client, main, now, record, spawn, show


def run(with_trouble):
    # Slots and work of a member as on the site (2 slots, 14 ms for `credit-check`).
    world = World(5, promote_s=1.0, slots=2, service_s=0.014)
    try:
        if not world.wait_ready():
            return None
        time.sleep(3)
        group = world.group
        coordinator = world.coordinator()
        others = [name for name in world.hosts if name != coordinator]
        cut, kept = [coordinator] + others[:2], others[2:]
        record(f"coordinator {coordinator}; hosts that lose the path to the primary: {cut}")
        acked, stop = [], threading.Event()

        def write(host, number):
            count = 0
            session = None
            while not stop.is_set():
                count += 1
                ident = f"w{host[-1]}{number}x{count}"
                try:
                    if session is None:
                        session = Client(world.hosts[host].front, "strong", "key-a")
                    _, result, ready = session.query(ident, f"WRITE {ident} data")
                    if result.startswith("COMPLETE sig"):
                        acked.append((now(), ident))
                    record(f"client {host}/{number} {ident}: {result[:60]} | {ready}")
                except OSError as error:
                    record(f"client {host}/{number} {ident}: {error!r}")
                    session = None
                    time.sleep(0.1)
                time.sleep(0.005 if host in kept else 0.05)

        writers = [spawn(write, host, n) for host in cut for n in range(2)]
        writers += [spawn(write, host, n) for host in kept for n in range(4)]
        time.sleep(2)
        old = group.primary()
        if with_trouble:
            seen = []

            def on_order(holder, token, name):
                if seen:
                    return
                seen.append(name)
                other = next(
                    m for m in group.members.values() if m is not old and m.name != name
                )

                def restart():
                    time.sleep(0.05)
                    other.crash()
                    time.sleep(0.2)
                    other.restart()

                spawn(restart)

            world.cloud.on_order = on_order
            record(f"trouble: primary {old.name} is partitioned from {cut} for 7 s")
            old.cut_hosts = set(cut)
            time.sleep(7)
            old.cut_hosts = set()
            record("trouble: the partition ends")
        else:
            time.sleep(7)
        time.sleep(3)
        stop.set()
        for writer in writers:
            writer.join(5)
        new = group.primary()
        kept_ids = {entry[1] for entry in new.log}
        lost = [(at, ident) for at, ident in acked if ident not in kept_ids]
        record(
            f"{len(acked)} writes were acknowledged; {new.name} leads term {new.term}; "
            f"lost: {lost}"
        )
        if len(acked) < 50 or with_trouble and new is old:
            record("too few writes, or the primary was not replaced")
            return None
        return not lost
    finally:
        world.close()


main(run)

import os, sys, threading, time
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
from standins import World, Client, configuration, main, now, record, spawn

CONFIG_APPLY_S = 3.0


def run(with_trouble):
    world = World(3, promote_s=1.0)
    try:
        if not world.wait_ready():
            return None
        time.sleep(1)
        group = world.group
        newer = configuration(group.name, version=8)
        newer["tenants"].append(
            {"name": "tenant-b", "apiKeys": ["key-b"], "priority": 1, "ratePerS": 500, "burst": 500}
        )
        world.store.put_json("op/config", newer)
        acknowledged = now()
        record("version 8, which adds key-b, is acknowledged")
        time.sleep(6)
        stop, refused, served = threading.Event(), [], []

        def read(host, number):
            session, count = None, 0
            while not stop.is_set():
                count += 1
                ident = f"r{host[-1]}{number}x{count}"
                sent = now()
                try:
                    if session is None:
                        session = Client(world.hosts[host].front, "strong", "key-b")
                    sent = now()
                    _, result, ready = session.query(ident, "READ item")
                    record(f"client {host}/{number} {ident}: {result[:70]} | {ready}")
                    if result.startswith("ERROR UNAUTH"):
                        refused.append((sent, host, ident))
                        session = None
                    elif result.startswith("COMPLETE sig"):
                        served.append(ident)
                except OSError as error:
                    record(f"client {host}/{number} {ident}: {error!r}")
                    session = None
                    time.sleep(0.1)
                time.sleep(0.15)

        for host in world.hosts:
            for number in range(2):
                spawn(read, host, number)
        time.sleep(2)
        old = group.primary()
        if with_trouble:
            record(f"trouble: the primary {old.name} crashes and is back after 20 ms")
            old.crash()
            time.sleep(0.02)
            old.restart(new_name="i-9")
            time.sleep(3)
            world.store.delete("servers/i-1")
        time.sleep(5)
        stop.set()
        time.sleep(1)
        late = [entry for entry in refused if entry[0] > acknowledged + CONFIG_APPLY_S]
        for sent, host, ident in late:
            record(
                f"broken: {ident}, sent to {host} at {sent:.3f}, was refused as unauthorised; "
                f"its key is in force since {acknowledged:.3f}"
            )
        record(f"{len(served)} reads served, {len(late)} refused as unauthorised")
        if len(served) < 50:
            return None
        return not late
    finally:
        world.close()


main(run)

"""Stand-ins of a small deployment: the platform's store, the cloud API, the members of
database services and clients. They run in one asyncio process on loopback addresses and
the real clock; hosts run as separate processes of the command in deploy/system.toml.
"""

import asyncio
import base64
import json
import os
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
import urllib.parse
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
LOOPBACK = "127.0.0.1"
# The statements that wait for a slot of a member at most.
QUEUE = 24
ZONES = ["zone-a", "zone-b", "zone-c"]


def now():
    return time.monotonic()


class Record:
    """Writes what was sent, answered and run to `record.txt`."""

    def __init__(self, folder):
        self.file = open(Path(folder) / "record.txt", "w", encoding="utf-8")
        self.start = now()

    def line(self, text):
        self.file.write(f"{now() - self.start:9.3f} {text}\n")
        self.file.flush()


def reset(writer):
    """Closes a connection with a reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        except OSError:
            pass
    writer.close()


async def serve(handler):
    """Serves connections on a free port; returns the server and its address."""

    async def guarded(reader, writer):
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            await handler(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass
        except asyncio.CancelledError:
            # The case ends.
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(guarded, LOOPBACK, 0, limit=2 << 20)
    port = server.sockets[0].getsockname()[1]
    return server, f"{LOOPBACK}:{port}"


# The store --------------------------------------------------------------------------------


class Store:
    """The platform's key-value store. Each host reaches it at an address of its own."""

    def __init__(self, record):
        self.record = record
        self.revision = 10
        self.items = {}
        self.leases = {}
        self.next_lease = 77000
        self.events = []
        self.changed = asyncio.Event()
        self.era = None
        # What hosts get: "ok", "busy" (503), "silent" or "reset".
        self.mode = {}

    def notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, key, value, lease=0):
        self.revision += 1
        created = self.items[key]["createdRev"] if key in self.items else self.revision
        if isinstance(value, str):
            value = value.encode()
        item = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "createdRev": created,
            "lease": lease,
        }
        self.items[key] = item
        self.events.append(dict(item))
        self.notify()

    def delete(self, key):
        if key in self.items:
            self.revision += 1
            del self.items[key]
            self.events.append({"key": key, "revision": self.revision, "deleted": True})
            self.notify()

    def value(self, key):
        item = self.items.get(key)
        return base64.b64decode(item["value"]) if item else None

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [key for key, item in self.items.items() if item["lease"] == lease]:
            self.delete(key)

    def copy(self):
        leases = {lease: ttl for lease, (ttl, _) in self.leases.items()}
        items = {key: dict(item) for key, item in self.items.items()}
        return self.revision, items, leases, self.next_lease

    def restore(self, copy):
        """Comes back from a copy. Revisions and leases are given out again from there."""
        self.revision, items, leases, self.next_lease = copy
        self.items = {key: dict(item) for key, item in items.items()}
        self.leases = {lease: (ttl, now() + ttl) for lease, ttl in leases.items()}
        self.events = [event for event in self.events if event["revision"] <= self.revision]
        self.era += 1
        self.record.line(f"RESTORED era {self.era} revision {self.revision}")
        self.notify()

    async def expire(self):
        while True:
            await asyncio.sleep(0.02)
            for lease, (_, until) in list(self.leases.items()):
                if now() > until:
                    self.end_lease(lease)

    async def listen(self, host):
        self.mode[host] = "ok"
        _, address = await serve(lambda reader, writer: self.connection(host, reader, writer))
        return address

    async def connection(self, host, reader, writer):
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            lines = head.decode().split("\r\n")
            method, target, _ = lines[0].split(" ")
            headers = dict(line.lower().split(": ", 1) for line in lines[1:] if line)
            body = await reader.readexactly(int(headers.get("content-length", 0)))
            if self.mode[host] == "reset":
                reset(writer)
                return
            await asyncio.sleep(0.004)
            if self.mode[host] == "silent":
                await asyncio.sleep(3600)
            if self.mode[host] == "busy":
                status, answer = 503, None
            else:
                url = urllib.parse.urlsplit(target)
                query = dict(urllib.parse.parse_qsl(url.query))
                data = json.loads(body) if body else {}
                status, answer = await self.answer(host, method, url.path, query, data)
            while self.mode[host] == "silent":
                await asyncio.sleep(3600)
            payload = json.dumps(answer).encode() if answer is not None else b""
            era = f"Store-Era: {self.era}\r\n" if self.era is not None else ""
            writer.write(
                f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n{era}"
                f"Content-Length: {len(payload)}\r\n\r\n".encode() + payload
            )
            await writer.drain()

    async def answer(self, host, method, path, query, data):
        if path == "/kv-range":
            prefix, after = query.get("prefix", ""), query.get("after", "")
            keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
            items = [self.items[key] for key in keys[:500]]
            more = len(keys) > 500
            return 200, {"items": items, "hasMore": more, "storeRevision": self.revision}
        if path == "/kv-key":
            item = self.items.get(query.get("key"))
            if item is None:
                return 404, {"storeRevision": self.revision}
            return 200, {**item, "storeRevision": self.revision}
        if path == "/kv-watch":
            return await self.watch(host, query)
        if path == "/kv-txn":
            return self.txn(data)
        if path == "/kv-lease":
            ttl = max(1000, int(data["ttlMs"]))
            self.next_lease += 1
            self.leases[self.next_lease] = (ttl / 1000, now() + ttl / 1000)
            return 200, {"lease": self.next_lease, "ttlMs": ttl}
        lease = int(path.rsplit("/", 1)[1])
        if lease not in self.leases:
            return 404, None
        if path.startswith("/kv-keep/"):
            ttl = self.leases[lease][0]
            self.leases[lease] = (ttl, now() + ttl)
            return 200, {"ttlMs": int(ttl * 1000)}
        self.end_lease(lease)
        return 200, None

    async def watch(self, host, query):
        prefix, after = query.get("prefix", ""), int(query.get("after", 0))
        until = now() + int(query.get("waitMs", 0)) / 1000
        if after > self.revision:
            return 410, None
        while True:
            events = [
                event
                for event in self.events
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            if events or now() >= until or self.mode[host] != "ok":
                return 200, {"events": events, "storeRevision": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), min(0.2, max(0.0, until - now())))
            except asyncio.TimeoutError:
                pass

    def txn(self, data):
        for row in data.get("expectedRev", []):
            known = self.items[row["key"]]["revision"] if row["key"] in self.items else 0
            if known != row["revision"]:
                keys = [row["key"] for row in data["expectedRev"]]
                return 412, {"items": [self.items[key] for key in keys if key in self.items]}
        for put in data.get("puts", []):
            if put["lease"] and put["lease"] not in self.leases:
                return 404, None
        for put in data.get("puts", []):
            self.put(put["key"], base64.b64decode(put["value"]), put["lease"])
        for key in data.get("deletes", []):
            self.delete(key)
        return 200, {"revision": self.revision}


# Members ----------------------------------------------------------------------------------


class Commit:
    def __init__(self, term, number, writes, query):
        self.term, self.number, self.writes, self.query = term, number, writes, query
        self.at = now()

    def position(self):
        return (self.term, self.number)


def text_of(position):
    return f"{position[0]}.{position[1]}"


class Member:
    """A member of a service: a primary or a replica."""

    def __init__(self, service, name, is_primary):
        self.service, self.name, self.is_primary = service, name, is_primary
        self.term, self.held = 1, 0
        self.log = []
        self.received_at = []
        self.applied_count = 0
        self.is_up, self.is_deaf = True, False
        self.lag = 0.02
        self.state = "ready"
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.connections = set()
        self.slots, self.waiting = asyncio.Semaphore(3), 0
        self.run = 0

    def received(self):
        return self.log[-1].position() if self.log else (self.term if self.is_primary else 1, 0)

    def applied(self):
        if self.is_primary:
            return self.received()
        # What was applied stays so when the lag grows.
        for index in range(self.applied_count, len(self.log)):
            if now() - self.received_at[index] >= self.lag:
                self.applied_count = index + 1
        return self.log[self.applied_count - 1].position() if self.applied_count else (1, 0)

    def read(self, item):
        limit, value = self.applied(), "-"
        for commit in self.log:
            if commit.position() <= limit and item in commit.writes:
                value = commit.writes[item]
        return value


class Service:
    """A primary and its replicas, with `syncReplicas` 1."""

    def __init__(self, name, record, store):
        self.name, self.record, self.store = name, record, store
        self.members = {}
        # (member, statement id, tenant, text, applied position, session values)
        self.runs = []
        # The position of each commit by the id of its write or COMMIT.
        self.commits = {}
        # How long a statement occupies a slot.
        self.work = {"READ": 0.024, "WRITE": 0.024, "COMMIT": 0.024}
        # A function called before a statement runs; it may wait.
        self.before = None

    async def start(self, count):
        for number in range(1, count + 1):
            name = f"i-{self.name}-{number}"
            member = Member(self, name, number == 1)
            member.zone = ZONES[(number - 1) % len(ZONES)]
            _, member.address = await serve(
                lambda reader, writer, member=member: self.connection(member, reader, writer)
            )
            self.members[name] = member
        asyncio.ensure_future(self.beat())

    def write_record(self, member):
        member.sequence += 1
        record = {
            "service": self.name,
            "address": member.address,
            "zone": member.zone,
            "version": "v1",
            "slots": 3,
            "serverState": member.state,
            "coldLeftMs": 0,
            "dbRole": "primary" if member.is_primary else "replica",
            "sequence": member.sequence,
            "born": member.born,
        }
        self.store.put(f"servers/{member.name}", json.dumps(record))

    async def beat(self):
        while True:
            for member in self.members.values():
                if member.is_up:
                    self.write_record(member)
            await asyncio.sleep(1.2)

    def primary(self):
        leaders = [m for m in self.members.values() if m.is_primary and m.is_up]
        return max(leaders, key=lambda m: m.term, default=None)

    def replicate(self, primary):
        """Sends the log of a primary to its replicas; returns those that hold all of it."""
        whole = []
        for member in self.members.values():
            if member is primary or member.is_primary or not member.is_up:
                continue
            if member.is_deaf or member.held or member.term > primary.term:
                continue
            member.term = primary.term
            same = 0
            while (
                same < min(len(member.log), len(primary.log))
                and member.log[same] is primary.log[same]
            ):
                same += 1
            del member.log[same:], member.received_at[same:]
            member.applied_count = min(member.applied_count, same)
            for commit in primary.log[same:]:
                member.log.append(commit)
                member.received_at.append(now())
            whole.append(member)
        return whole

    def promote(self, name):
        member = self.members.get(name)
        if member is None or not member.is_up:
            return False
        if not member.is_primary:
            member.term = max(m.term for m in self.members.values()) + 1
            member.is_primary, member.held = True, 0
            self.write_record(member)
            self.record.line(f"PROMOTED {name} term {member.term} log {text_of(member.received())}")
        return True

    async def connection(self, member, reader, writer):
        if not member.is_up:
            reset(writer)
            return
        run, member.connections = member.run, member.connections | {writer}
        state = {"tx": None, "failed": False, "prepared": {}, "values": {}}
        try:
            while member.is_up and member.run == run:
                line = await reader.readuntil(b"\r\n")
                answer = await self.line(member, state, line[:-2].decode())
                if answer is None or not member.is_up or member.run != run:
                    reset(writer)
                    return
                writer.write(answer.encode())
                await writer.drain()
        finally:
            member.connections.discard(writer)

    def ready(self, member, state):
        word = "E" if state["failed"] else ("I" if state["tx"] is None else "T")
        return f"READY {word} {text_of(member.applied())}\r\n"

    async def line(self, member, state, line):
        verb, _, rest = line.partition(" ")
        if verb == "CONNECT":
            words = rest.split(" ")
            if words[0] != self.name or (len(words) > 2 and words[2] != member.name):
                return f"ERROR WRONGNODE {member.name}\r\n"
            state["tenant"] = words[1]
            await asyncio.sleep(0.012)
            return self.ready(member, state)
        if verb != "QUERY":
            return None
        query, _, text = rest.partition(" ")
        outcome = await self.query(member, state, query, text)
        if outcome is None:
            return None
        rows, code = outcome
        if code:
            if state["tx"] is not None:
                state["failed"] = True
            return f"ERROR {code} {member.name}\r\n" + self.ready(member, state)
        body = "".join(f"ROW {row}\r\n" for row in rows)
        return body + f"COMPLETE signed-{member.name}\r\n" + self.ready(member, state)

    async def query(self, member, state, query, text):
        if text.startswith("SYNCPOINT "):
            _, floor, text = text.split(" ", 2)
            term, number = floor.split(".")
            if member.applied() < (int(term), int(number)):
                return [], "LAGGING"
        words = text.split(" ")
        verb = words[0]
        if self.before is not None:
            await self.before(member, query, text)
        if state["failed"] and verb not in ("ROLLBACK", "COMMIT", "STATUS"):
            return [], "MALFORMED"
        if verb in ("STATUS", "SUSPEND", "RESUME", "DEMOTE"):
            return [self.control(member, words)], None
        if verb == "RESET":
            state["prepared"], state["values"] = {}, {}
            return [], None
        if verb == "SET":
            state["values"][words[1]] = " ".join(words[2:])
            return [], None
        if verb == "PREPARE":
            state["prepared"][words[1]] = (words[2], " ".join(words[3:]))
            return [], None
        if verb == "BEGIN":
            if len(words) == 1 and not member.is_primary:
                return [], "READONLY"
            state["tx"], state["plain"], state["term"] = {}, len(words) == 1, member.term
            return [], None
        if verb == "ROLLBACK":
            state["tx"], state["failed"] = None, False
            return [], None
        if verb == "EXECUTE":
            known = state["prepared"].get(words[1])
            if known is None:
                return [], "NOSTMT"
            verb, words = known[0], [known[0], *words[2:]]
        if verb in self.work:
            if member.waiting >= QUEUE:
                return [], "BUSY"
            member.waiting += 1
            async with member.slots:
                member.waiting -= 1
                await asyncio.sleep(self.work[verb])
        lost = not member.is_primary or (state["tx"] is not None and state["term"] != member.term)
        if verb == "READ":
            if state["tx"] is not None and state["plain"] and lost:
                return [], "READONLY"
            self.ran(member, state, query, text)
            own = state["tx"] or {}
            return [own.get(words[1], member.read(words[1]))], None
        if verb == "WRITE":
            if lost:
                return [], "READONLY"
            self.ran(member, state, query, text)
            if state["tx"] is not None:
                state["tx"][words[1]] = " ".join(words[2:])
                return [], None
            return await self.commit(member, {words[1]: " ".join(words[2:])}, query)
        if verb == "COMMIT":
            writes, failed = state["tx"], state["failed"]
            state["tx"], state["failed"] = None, False
            if writes is None:
                return [], "MALFORMED"
            if failed:
                return [], "ABORTED"
            if writes and lost:
                return [], "READONLY"
            self.ran(member, state, query, text)
            return await self.commit(member, writes, query) if writes else ([], None)
        return [], "MALFORMED"

    def ran(self, member, state, query, text):
        position = member.applied()
        self.runs.append(
            (member.name, query, state.get("tenant"), text, position, dict(state["values"]))
        )
        self.record.line(
            f"RUN {self.name} {member.name} id {query} tenant {state.get('tenant')} "
            f"log {text_of(position)} values {state['values']}: {text}"
        )

    async def commit(self, member, writes, query):
        last = member.received()
        commit = Commit(member.term, last[1] + 1, writes, query)
        member.log.append(commit)
        member.received_at.append(now())
        self.commits[query] = commit.position()
        self.record.line(f"COMMIT {self.name} {member.name} id {query} at {text_of(commit.position())}")
        while True:
            if not member.is_up:
                return None
            holders = [m for m in self.replicate(member) if commit in m.log]
            if holders:
                return [], None
            if not member.is_primary:
                return None
            await asyncio.sleep(0.005)

    def control(self, member, words):
        if words[0] == "SUSPEND" and not member.is_primary and int(words[1]) > member.term:
            member.held = max(member.held, int(words[1]))
        elif words[0] == "RESUME":
            member.held = 0
        elif words[0] == "DEMOTE" and member.is_primary and member.term < int(words[1]):
            member.is_primary = False
            self.write_record(member)
        role = "primary" if member.is_primary else "replica"
        if words[0] != "STATUS":
            self.record.line(f"CONTROL {member.name} {' '.join(words)}")
        lag = int(member.lag * 1000)
        return (
            f"{role} {member.term} {text_of(member.received())} {member.held} {lag} 0 "
            f"{len(member.connections)}"
        )

    def drain(self, member):
        """Begins the planned shutdown of a member, which serves for `drainMs` and exits."""
        member.state = "draining"
        self.write_record(member)
        self.record.line(f"DRAINING {member.name}")
        asyncio.get_running_loop().call_later(7.5, self.leave, member)

    def leave(self, member):
        self.crash(member.name)
        member.log, member.received_at, member.applied_count = [], [], 0
        self.store.delete(f"servers/{member.name}")

    def crash(self, name):
        member = self.members[name]
        member.is_up = False
        member.run += 1
        for writer in list(member.connections):
            reset(writer)
        self.record.line(f"CRASH {name}")


class Cloud:
    """The cloud API, which promotes members."""

    def __init__(self, services, record, promote_s=0.3):
        self.services, self.record, self.promote_s = services, record, promote_s
        self.orders = []

    async def start(self):
        _, self.address = await serve(self.connection)

    async def connection(self, reader, writer):
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            lines = head.decode().split("\r\n")
            headers = dict(line.lower().split(": ", 1) for line in lines[1:] if line)
            body = json.loads(await reader.readexactly(int(headers.get("content-length", 0))))
            holder, token = headers.get("x-duty-holder"), headers.get("x-fencing-token")
            self.orders.append((now(), holder, int(token), body))
            self.record.line(f"ORDER {holder} token {token} {body}")
            service = self.services.get(body["service"])
            member = service.members.get(body["id"]) if service else None
            known = member is not None and member.is_up
            if known:
                asyncio.get_running_loop().call_later(self.promote_s, service.promote, body["id"])
            writer.write(f"HTTP/1.1 {200 if known else 409} X\r\nContent-Length: 0\r\n\r\n".encode())
            await writer.drain()


# Hosts ------------------------------------------------------------------------------------


next_port = 20000 + (os.getpid() * 64) % 9000


def free_ports(count):
    """Finds consecutive free ports outside of the ephemeral range, new ones in each call."""
    global next_port
    while True:
        first, sockets = next_port, []
        next_port += count
        try:
            for port in range(first, first + count):
                sock = socket.socket()
                sockets.append(sock)
                sock.bind((LOOPBACK, port))
            return first
        except OSError:
            pass
        finally:
            for sock in sockets:
                sock.close()


class Host:
    """An entry host, started with the command of the deploy file."""

    def __init__(self, name, store, cloud, folder, record, zone="zone-a"):
        self.name, self.record, self.zone, self.cpu_share = name, record, zone, 0.17
        self.store, self.cloud, self.folder = store, cloud, Path(folder)
        self.process = None

    async def start(self):
        if not hasattr(self, "front"):
            port = free_ports(8)
            self.front, self.ready = f"{LOOPBACK}:{port}", f"{LOOPBACK}:{port + 1}"
            self.inner = (port + 2, port + 6)
            self.store_address = await self.store.listen(self.name)
            self.settings()
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = next(iter(deploy["roles"].values()))["run"].split(" ")
        log = open(self.folder / f"{self.name}.log", "ab")
        env = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        env["BURDOCKSLIP_BOOT"] = str(self.folder / f"{self.name}.toml")
        self.process = await asyncio.create_subprocess_exec(
            str(ROOT / command[0]), *command[1:], cwd=ROOT, env=env, stdout=log, stderr=log
        )
        self.record.line(f"START {self.name} pid {self.process.pid}")

    def settings(self):
        text = f"""nodeName = "{self.name}"
role = "entry"
machineClass = "edge"
serves = ["edge"]
ip = "{LOOPBACK}"
zone = "{self.zone}"
region = "region-a"
innerPortRange = [{self.inner[0]},{self.inner[1]}]
seeds = []
bootstrap = true
inTolerance = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","recover","sql","tenants","quota","platform"]
[zones]
zone-a = "region-a"
zone-b = "region-a"
zone-c = "region-a"
[listen]
front = "{self.front}"
ready = "{self.ready}"
[limits]
cpuShare = {self.cpu_share}
cores = 1
memoryMb = 182
maxFds = 3010
linkMbps = 700.0
diskMb = 0
[bounds]
contactMs = 4000
drainMs = 7000
graceS = 6
lossSlackMs = 200
configApplyMs = 3000
downgradeSlackMs = 250
outerBoundMs = 12000
strictRevoke = true
revokeMs = 5000
quotaWindowS = 5
quotaExcess = 0.1
quotaSlack = 20
fencing = false
thawSlackMs = 300
[platform]
address = "{self.store_address}"
form = "kv"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
[cloudApi]
address = "{self.cloud.address}"
ratePerS = 50.0
duties = ["promotion"]
dutiesPerS = 50.0
"""
        (self.folder / f"{self.name}.toml").write_text(text)

    def signal(self, number):
        if self.process.returncode is None:
            self.process.send_signal(number)
            self.record.line(f"SIGNAL {self.name} {signal.Signals(number).name}")

    async def is_ready(self):
        try:
            host, port = self.ready.split(":")
            reader, writer = await asyncio.wait_for(asyncio.open_connection(host, int(port)), 1)
            writer.write(b"GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
            return b" 200" in line
        except (OSError, asyncio.TimeoutError):
            return False

    async def wait_ready(self, limit=10):
        until = now() + limit
        while now() < until:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.05)
        return False

    async def stop(self):
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


# Clients ----------------------------------------------------------------------------------


class Answer:
    def __init__(self):
        self.rows, self.signature, self.code, self.state, self.position = [], None, None, None, None
        self.sent = self.done = None

    @property
    def ok(self):
        return self.signature is not None


class Client:
    """A session. Statements get ids that no other client uses."""

    count = 0

    def __init__(self, record, front, database, key):
        Client.count += 1
        self.tag, self.number = f"c{Client.count:x}", 0
        self.record, self.front, self.database, self.key = record, front, database, key

    async def open(self, limit=2):
        host, port = self.front.split(":")
        try:
            self.reader, self.writer = await asyncio.wait_for(
                asyncio.open_connection(host, int(port), limit=2 << 20), limit
            )
            self.writer.write(f"CONNECT {self.database} {self.key}\r\n".encode())
            line = (await asyncio.wait_for(self.reader.readuntil(b"\r\n"), limit)).decode().strip()
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
            self.record.line(f"OPEN {self.tag} {self.database} failed {type(error).__name__}")
            return False
        self.record.line(f"OPEN {self.tag} {self.database} {line}")
        return line.startswith("READY")

    async def query(self, text, limit=5):
        """Runs a statement; the answer's state is `None` if the connection ended."""
        self.number += 1
        query = f"{self.tag}q{self.number:x}"
        answer = Answer()
        answer.id, answer.sent = query, now()
        self.record.line(f"SEND {self.tag} {self.database} id {query}: {text}")
        try:
            self.writer.write(f"QUERY {query} {text}\r\n".encode())
            while answer.state is None:
                line = await asyncio.wait_for(self.reader.readuntil(b"\r\n"), limit)
                verb, _, rest = line[:-2].decode().partition(" ")
                if verb == "ROW":
                    answer.rows.append(rest)
                elif verb == "COMPLETE":
                    answer.signature = rest
                elif verb == "ERROR":
                    answer.code = rest.split(" ")[0]
                elif verb == "READY":
                    answer.state, answer.position = rest.split(" ")
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
            self.record.line(f"LOST {self.tag} id {query} {type(error).__name__}")
        answer.done = now()
        result = answer.code or answer.signature or "no answer"
        self.record.line(
            f"ANSWER {self.tag} id {query} {result} rows {answer.rows} "
            f"ready {answer.state} {answer.position}"
        )
        return answer

    def close(self):
        if getattr(self, "writer", None) is not None:
            self.writer.close()


async def keep_reading(record, front, database, key, items):
    """Reads items in one session after another, a statement at a time."""
    number = 0
    while True:
        client = Client(record, front, database, key)
        if await client.open():
            for _ in range(200):
                number += 1
                if (await client.query(f"READ item-{number % items}")).state != "I":
                    break
        client.close()
        await asyncio.sleep(0.05)


# Worlds -----------------------------------------------------------------------------------


class World:
    """A small deployment."""

    def __init__(self, folder):
        self.record = Record(folder)
        self.folder = tempfile.mkdtemp(prefix="burdockslip-case-")
        self.store = Store(self.record)
        self.services, self.hosts, self.version = {}, {}, 0

    async def start(self, services, hosts):
        asyncio.ensure_future(self.store.expire())
        for name, count in services.items():
            self.services[name] = Service(name, self.record, self.store)
            await self.services[name].start(count)
        self.cloud = Cloud(self.services, self.record)
        await self.cloud.start()
        for number in range(1, hosts + 1):
            name = f"edge-{number}"
            zone = ZONES[(number - 1) % len(ZONES)]
            self.hosts[name] = Host(name, self.store, self.cloud, self.folder, self.record, zone)

    def configure(self, routes, tenants, max_conns=42):
        """Writes a configuration: `routes` are (host, type, service) rows."""
        self.version += 3
        document = {
            "version": self.version,
            "routes": [
                {
                    "name": f"r-{host}",
                    "host": host,
                    "prefix": "/",
                    "routeType": kind,
                    "timeoutMs": 1000,
                    "targetLatencyMs": 400,
                    "priority": 1,
                    "service": service,
                    "maxAttempts": 2,
                    "maxStalenessMs": 2500,
                    "noAuth": False,
                }
                for host, kind, service in routes
            ],
            "services": [
                {
                    "name": name,
                    "healthPath": "/health",
                    "maxConns": max_conns,
                    "protocol": "h1",
                    "tls": False,
                    "syncReplicas": 1,
                }
                for name in self.services
            ],
            "limits": {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": 262144,
                "headerTimeoutMs": 3000,
                "idleTimeoutMs": 15000,
                "txIdleMs": 3000,
            },
            "tenants": [
                {"name": name, "apiKeys": keys, "priority": 1, "ratePerS": 400, "burst": 400}
                for name, keys in tenants.items()
            ],
        }
        self.store.put("op/config", json.dumps(document))
        self.record.line(f"CONFIG version {self.version} acknowledged: {routes} {tenants}")
        return self.version

    async def start_hosts(self):
        for host in self.hosts.values():
            await host.start()
        for host in self.hosts.values():
            if not await host.wait_ready():
                return False
        return all(host.process.returncode is None for host in self.hosts.values())

    async def stop(self, keep_logs=False):
        for host in self.hosts.values():
            await host.stop()
        if keep_logs:
            print("logs:", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


class CannotRun(Exception):
    """The case could not be set up."""


def main(folder, case):
    """Runs `case(world, trouble)`, which returns whether the rule was broken."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        world = World(folder)
        try:
            broken = await asyncio.wait_for(case(world, trouble), 110)
            world.record.line(f"RESULT rule {'broken' if broken else 'held'}")
            return 1 if broken else 0
        except (CannotRun, asyncio.TimeoutError) as error:
            world.record.line(f"RESULT not run: {error!r}")
            print("not run:", repr(error))
            return 2
        finally:
            await world.stop("KEEP_LOGS" in os.environ)

    sys.exit(asyncio.run(run()))

"""Stand-ins for the platform's store, its cloud interface, database members and clients.

Written from PROTOCOL.md, with the standard library only. Everything listens on
127.0.0.1. Hosts are the project's own program, started with the command of the
deploy file as separate processes.
"""

import base64
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
START = time.monotonic()


def now():
    """Seconds since the start of the script."""
    return time.monotonic() - START


class Record:
    """Writes one line for each event to record.txt."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.lock = threading.Lock()

    def write(self, text):
        with self.lock:
            self.file.write(f"{now():8.3f} {text}\n")
            self.file.flush()


RECORD = None


def record(text):
    if RECORD:
        RECORD.write(text)


def listen(backlog=256):
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(("127.0.0.1", 0))
    sock.listen(backlog)
    return sock


def close_hard(sock):
    """Closes a socket with a reset, as the end of a process with unread data does."""
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
    except OSError:
        pass
    try:
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass
    try:
        sock.close()
    except OSError:
        pass


def spawn(target, *args):
    thread = threading.Thread(target=target, args=args, daemon=True)
    thread.start()
    return thread


# --- HTTP ---------------------------------------------------------------------


class HttpServer:
    """A small HTTP/1.1 server with one thread for each connection.

    `handler(method, path, query, headers, body)` returns a status and a JSON value, or
    `None` to give no answer. `silence()` makes all connections that are open at the
    moment go silent for good: nothing more is read from or written to them.
    """

    def __init__(self, handler, backlog=256):
        self.handler = handler
        self.sock = listen(backlog)
        self.address = "127.0.0.1:%d" % self.sock.getsockname()[1]
        self.epoch = 0
        self.accepting = threading.Event()
        self.accepting.set()
        spawn(self._accept)

    def silence(self):
        self.epoch += 1

    def cut_off(self):
        """Stops taking connections: opening packets go unanswered until `restore`."""
        self.accepting.clear()
        self.fillers = []
        # One of them is taken by the accept call that is waiting, one fills the queue.
        for _ in range(3):
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            sock.setblocking(False)
            sock.connect_ex(self.sock.getsockname())
            self.fillers.append(sock)
            time.sleep(0.02)

    def restore(self):
        for sock in self.fillers:
            sock.close()
        self.accepting.set()

    def _accept(self):
        while True:
            try:
                conn, _ = self.sock.accept()
            except OSError:
                return
            self.accepting.wait()
            spawn(self._serve, conn, self.epoch)

    def _serve(self, conn, epoch):
        conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        buffer = b""
        try:
            while True:
                while b"\r\n\r\n" not in buffer:
                    data = conn.recv(65536)
                    if not data:
                        return
                    buffer += data
                if epoch != self.epoch:
                    time.sleep(1000)
                head, buffer = buffer.split(b"\r\n\r\n", 1)
                lines = head.decode().split("\r\n")
                method, target, _ = lines[0].split(" ")
                headers = {}
                for line in lines[1:]:
                    name, value = line.split(":", 1)
                    headers[name.strip().lower()] = value.strip()
                length = int(headers.get("content-length", "0"))
                while len(buffer) < length:
                    buffer += conn.recv(65536)
                body, buffer = buffer[:length], buffer[length:]
                parsed = urllib.parse.urlsplit(target)
                query = dict(urllib.parse.parse_qsl(parsed.query, keep_blank_values=True))
                value = json.loads(body) if body else None
                reply = self.handler(method, parsed.path, query, headers, value)
                if epoch != self.epoch:
                    time.sleep(1000)
                if reply is None:
                    return
                status, answer = reply
                text = json.dumps(answer).encode() if answer is not None else b""
                conn.sendall(
                    b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                    % (status, len(text))
                    + text
                )
        except (OSError, ValueError):
            pass
        finally:
            conn.close()


class Store:
    """The platform's metadata store."""

    def __init__(self):
        self.lock = threading.Condition()
        self.revision = 1
        self.items = {}
        self.events = []
        self.leases = {}
        self.next_lease = 1000
        self.watching = 0
        self.last_watch = 0.0
        self.server = HttpServer(self.handle)
        self.address = self.server.address
        spawn(self._expire)

    def _expire(self):
        while True:
            time.sleep(0.02)
            with self.lock:
                ended = [k for k, (ttl, at) in self.leases.items() if now() - at > ttl]
                for lease in ended:
                    self._end(lease)

    def _end(self, lease):
        self.leases.pop(lease, None)
        for key in [k for k, item in self.items.items() if item["lease"] == lease]:
            self._delete(key)

    def _put(self, key, value, lease):
        self.revision += 1
        created = self.items[key]["createdRev"] if key in self.items else self.revision
        item = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "createdRev": created,
            "lease": lease,
        }
        self.items[key] = item
        self.events.append(item)
        self.lock.notify_all()

    def _delete(self, key):
        if self.items.pop(key, None):
            self.revision += 1
            self.events.append({"key": key, "revision": self.revision, "deleted": True})
            self.lock.notify_all()

    def put(self, key, value):
        with self.lock:
            self._put(key, value, 0)

    def put_json(self, key, value):
        self.put(key, json.dumps(value).encode())

    def delete(self, key):
        with self.lock:
            self._delete(key)

    def get(self, key):
        with self.lock:
            item = self.items.get(key)
            return base64.b64decode(item["value"]) if item else None

    def handle(self, method, path, query, headers, body):
        time.sleep(0.004)
        with self.lock:
            if path == "/kv-range":
                prefix, after = query.get("prefix", ""), query.get("after", "")
                keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
                items = [self.items[k] for k in keys[:500]]
                return 200, {
                    "items": items,
                    "hasMore": len(keys) > 500,
                    "storeRevision": self.revision,
                }
            if path == "/kv-key":
                item = self.items.get(query.get("key", ""))
                if not item:
                    return 404, None
                return 200, dict(item, storeRevision=self.revision)
            if path == "/kv-watch":
                prefix, after = query.get("prefix", ""), int(query["after"])
                until = now() + int(query["waitMs"]) / 1000
                self.last_watch = now()
                while True:
                    events = [
                        e
                        for e in self.events
                        if e["revision"] > after and e["key"].startswith(prefix)
                    ]
                    left = until - now()
                    if events or left <= 0:
                        return 200, {"events": events, "storeRevision": self.revision}
                    self.lock.wait(min(left, 1.0))
            if path == "/kv-txn":
                for row in body.get("expectedRev") or []:
                    known = self.items.get(row["key"])
                    if (known["revision"] if known else 0) != row["revision"]:
                        rows = body["expectedRev"]
                        found = [self.items[r["key"]] for r in rows if r["key"] in self.items]
                        return 412, {"items": found}
                for put in body.get("puts") or []:
                    if put.get("lease") and put["lease"] not in self.leases:
                        return 404, None
                for put in body.get("puts") or []:
                    self._put(put["key"], base64.b64decode(put["value"]), put.get("lease", 0))
                for key in body.get("deletes") or []:
                    self._delete(key)
                return 200, {"revision": self.revision}
            if path == "/kv-lease":
                self.next_lease += 1
                self.leases[self.next_lease] = (body["ttlMs"] / 1000, now())
                return 200, {"lease": self.next_lease, "ttlMs": body["ttlMs"]}
            if path.startswith("/kv-keep/"):
                lease = int(path.rsplit("/", 1)[1])
                if lease not in self.leases:
                    return 404, None
                ttl = self.leases[lease][0]
                self.leases[lease] = (ttl, now())
                return 200, {"lease": lease, "ttlMs": int(ttl * 1000)}
            if path.startswith("/kv-lease-end/"):
                lease = int(path.rsplit("/", 1)[1])
                if lease not in self.leases:
                    return 404, None
                self._end(lease)
                return 200, {}
        return 404, None


# --- members ------------------------------------------------------------------


def owner_of(port, processes):
    """Returns the process, among `processes`, whose socket has the local `port`."""
    needle = "0100007F:%04X" % port
    inode = None
    with open("/proc/net/tcp") as table:
        for line in table:
            fields = line.split()
            if fields[1] == needle and fields[3] == "01":
                inode = fields[9]
                break
    if not inode:
        return None
    for name, pid in processes.items():
        try:
            for entry in os.scandir("/proc/%d/fd" % pid):
                try:
                    if os.readlink(entry.path) == "socket:[%s]" % inode:
                        return name
                except OSError:
                    pass
        except OSError:
            pass
    return None


class Member:
    """One database of a group."""

    def __init__(self, group, name, is_primary):
        self.group = group
        self.name = name
        self.born = int(time.time() * 1000)
        self.sequence = 1
        self.is_primary = is_primary
        self.term = 1
        self.held = 0
        self.log = []  # entries: ((term, number), id, item, data)
        self.is_up = True
        self.is_deaf = False
        self.is_dark = False
        self.is_draining = False
        self.cut_hosts = set()
        self.cut_members = set()
        self.connections = set()
        self.slots = threading.Semaphore(group.slots)
        self.saw_successor = None
        self.sock = listen()
        self.port = self.sock.getsockname()[1]
        self.address = "127.0.0.1:%d" % self.port
        spawn(self._accept, self.sock)

    def position(self):
        return self.log[-1][0] if self.log else (1, 0)

    def value(self, item):
        for _, _, known, data in reversed(self.log):
            if known == item:
                return data
        return "0"

    def _accept(self, sock):
        while True:
            try:
                conn, peer = sock.accept()
            except OSError:
                return
            spawn(Session(self, conn, peer).run)

    def write_record(self):
        self.group.store.put_json(
            "servers/" + self.name,
            {
                "service": self.group.name,
                "address": self.address,
                "zone": "zone-a",
                "version": "v1",
                "slots": 3,
                "serverState": "draining" if self.is_draining else "ready",
                "coldLeftMs": 0,
                "sequence": self.sequence,
                "dbRole": "primary" if self.is_primary else "replica",
                "born": self.born,
            },
        )

    def crash(self):
        """Ends the process: its connections are reset, its port refuses."""
        with self.group.lock:
            self.is_up = False
            connections = list(self.connections)
            self.connections.clear()
            self.group.lock.notify_all()
        try:
            self.sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self.sock.close()
        for conn in connections:
            close_hard(conn)
        record(f"member {self.name} crashed")

    def restart(self, new_name=None, has_log=True):
        """Starts the process again, without what it was told; with its log, or without."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(("127.0.0.1", self.port))
        sock.listen(256)
        with self.group.lock:
            if new_name:
                self.group.members[new_name] = self.group.members.pop(self.name)
                self.name = new_name
            self.born = int(time.time() * 1000)
            self.held = 0
            if not has_log:
                self.log = []
                self.term = 1
            self.is_up = True
            self.sock = sock
            if any(m.is_primary and m.term > self.term for m in self.group.members.values()):
                self.is_primary = False
            self.group.lock.notify_all()
        spawn(self._accept, sock)
        self.write_record()
        record(f"member {self.name} is up again, log {show(self.position())}, born {self.born}")


class Group:
    """A primary with replicas; a commit is acknowledged once one replica has it."""

    def __init__(self, store, name, count=3, promote_s=1.0, slots=64, service_s=0.004):
        self.slots = slots
        self.store = store
        self.name = name
        self.promote_s = promote_s
        self.lock = threading.Condition()
        self.members = {}
        self.processes = {}
        self.runs = []  # (time, member, id, text, organisation)
        self.on_run = None
        self.on_control = None
        self.rows_of = None
        self.service_s = service_s
        for number in range(1, count + 1):
            member = Member(self, f"i-{number}", number == 1)
            self.members[member.name] = member
        for member in self.members.values():
            member.write_record()
        spawn(self._advance)

    def _advance(self):
        while True:
            time.sleep(0.005)
            with self.lock:
                self._replicate()

    def _reaches(self, one, other):
        return other.name not in one.cut_members and one.name not in other.cut_members

    def _replicate(self):
        """Lets each replica receive from the newest primary that it may follow."""
        leaders = [m for m in self.members.values() if m.is_up and m.is_primary]
        changed = False
        for member in self.members.values():
            if not member.is_up:
                continue
            newer = [
                m for m in leaders if m.term > member.term and self._reaches(m, member)
            ]
            if member.is_primary:
                # An old primary steps down a second after it can reach the new one.
                if not newer:
                    member.saw_successor = None
                elif member.saw_successor is None:
                    member.saw_successor = now()
                elif now() - member.saw_successor > 1.0:
                    member.is_primary = False
                    record(f"member {member.name} steps down")
                    member.write_record()
                continue
            if member.is_deaf or member.is_dark:
                continue
            sources = [
                m
                for m in leaders
                if m.term >= member.term
                and self._reaches(m, member)
                and (member.held == 0 or m.term >= member.held)
                and not m.is_dark
            ]
            if not sources:
                continue
            source = max(sources, key=lambda m: m.term)
            if member.term != source.term or len(member.log) != len(source.log):
                member.log = list(source.log)
                member.term = source.term
                changed = True
        if changed:
            self.lock.notify_all()

    def promote(self, name):
        """Makes a member lead the next term with what it has received."""
        with self.lock:
            member = self.members.get(name)
            if not member or not member.is_up or member.is_primary:
                return
            member.term = max(m.term for m in self.members.values()) + 1
            member.is_primary = True
            member.held = 0
            self.lock.notify_all()
            record(f"member {name} leads term {member.term}, log {show(member.position())}")
        member.write_record()

    def add(self, name):
        """Starts a replica, which registers itself."""
        member = Member(self, name, False)
        with self.lock:
            self.members[name] = member
        member.write_record()
        record(f"member {name} starts as a replica")

    def report_draining(self, name):
        """Lets a member report its planned end; returns when the store has accepted it."""
        member = self.members[name]
        member.is_draining = True
        member.write_record()
        record(f"the store accepts that {name} is draining")
        return now()

    def leave(self, name):
        """Ends a member for good; its log is gone with it."""
        member = self.members[name]
        member.crash()
        with self.lock:
            del self.members[name]
        self.store.delete("servers/" + name)
        record(f"member {name} has left")

    def primary(self):
        with self.lock:
            leaders = [m for m in self.members.values() if m.is_primary]
            return max(leaders, key=lambda m: m.term)


def show(position):
    return "%d.%d" % position


def parse_position(text):
    term, number = text.split(".")
    return int(term), int(number)


class Closed(Exception):
    pass


class Session:
    """A connection to a member."""

    def __init__(self, member, conn, peer):
        self.member = member
        self.group = member.group
        self.conn = conn
        self.peer = peer
        self.host = None
        self.organisation = ""
        self.values = {}
        self.prepared = {}
        self.open = None  # writes of the open transaction
        self.is_read_only = False
        self.has_failed = False

    def run(self):
        self.conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        with self.group.lock:
            if not self.member.is_up:
                close_hard(self.conn)
                return
            self.member.connections.add(self.conn)
        self.host = owner_of(self.peer[1], self.group.processes)
        buffer = b""
        try:
            while True:
                while b"\r\n" not in buffer:
                    data = self.conn.recv(65536)
                    if not data:
                        return
                    buffer += data
                line, buffer = buffer.split(b"\r\n", 1)
                self.wait_for_path()
                if not self.answer(line.decode("latin-1")):
                    return
        except (OSError, Closed):
            pass
        finally:
            with self.group.lock:
                self.member.connections.discard(self.conn)
            try:
                self.conn.close()
            except OSError:
                pass

    def wait_for_path(self):
        """Waits while the member is dark or the path to the host is cut."""
        while self.member.is_dark or self.host in self.member.cut_hosts:
            time.sleep(0.02)

    def send(self, lines):
        self.wait_for_path()
        self.conn.sendall("".join(line + "\r\n" for line in lines).encode("latin-1"))

    def ready(self):
        state = "E" if self.has_failed else "I" if self.open is None else "T"
        with self.group.lock:
            return f"READY {state} {show(self.member.position())}"

    def finish(self, rows, signature):
        self.send([f"ROW {row}" for row in rows] + [f"COMPLETE {signature}", self.ready()])

    def fail(self, code, text="refused"):
        if self.open is not None:
            self.has_failed = True
        self.send([f"ERROR {code} {text}", self.ready()])

    def answer(self, line):
        word, _, rest = line.partition(" ")
        if word == "RELEASE":
            return False
        if word == "CONNECT":
            fields = rest.split(" ")
            if fields[0] != self.group.name or len(fields) > 2 and fields[2] != self.member.name:
                self.send(["ERROR WRONGNODE another member"])
                return False
            self.organisation = fields[1] if len(fields) > 1 else ""
            self.send([self.ready()])
            return True
        if word != "QUERY":
            return False
        ident, _, text = rest.partition(" ")
        if text.startswith("SYNCPOINT "):
            _, floor, text = text.split(" ", 2)
            with self.group.lock:
                if self.member.position() < parse_position(floor):
                    behind = True
                else:
                    behind = False
            if behind:
                self.fail("LAGGING")
                return True
        self.query(ident, text)
        return True

    def query(self, ident, text):
        verb, _, rest = text.partition(" ")
        member, group = self.member, self.group
        if verb in ("STATUS", "SUSPEND", "RESUME", "DEMOTE"):
            with group.lock:
                if verb == "SUSPEND" and not member.is_primary and int(rest) > member.term:
                    member.held = max(member.held, int(rest))
                elif verb == "RESUME":
                    member.held = 0
                elif verb == "DEMOTE" and member.is_primary and member.term < int(rest):
                    member.is_primary = False
                role = "primary" if member.is_primary else "replica"
                row = (
                    f"{role} {member.term} {show(member.position())} {member.held} 12 0 "
                    f"{len(member.connections)}"
                )
            if verb != "STATUS":
                record(f"member {member.name} got {verb} {rest} from {self.host}: {row}")
                if verb == "DEMOTE":
                    member.write_record()
            self.finish([row], "-")
            if group.on_control:
                group.on_control(member, verb, self.host)
            return
        if verb == "RESET":
            self.values, self.prepared = {}, {}
            return self.finish([], "-")
        if verb == "SET":
            name, _, value = rest.partition(" ")
            self.values[name] = value
            return self.finish([], "-")
        if verb == "PREPARE":
            name, access, shape = rest.split(" ", 2)
            self.prepared[name] = (access, shape)
            return self.finish([], "-")
        if verb == "DEALLOC":
            self.prepared.pop(rest, None)
            return self.finish([], "-")
        if self.has_failed and verb not in ("ROLLBACK", "COMMIT"):
            return self.fail("MALFORMED")
        if verb == "BEGIN":
            with group.lock:
                is_replica = not member.is_primary
            if is_replica and rest != "READ":
                return self.fail("READONLY", member.name)
            self.open, self.is_read_only = [], rest == "READ"
            return self.finish([], "-")
        if verb == "ROLLBACK" or verb == "COMMIT" and self.has_failed:
            self.open, self.has_failed = None, False
            return self.finish([], "-")
        if verb == "COMMIT":
            writes, self.open = self.open, None
            if not writes:
                return self.finish([], self.sign(ident))
            return self.commit(ident, text, writes)
        if verb == "EXECUTE":
            name, _, rest = rest.partition(" ")
            if name not in self.prepared:
                return self.fail("NOSTMT")
            verb = self.prepared[name][0]
        item, _, data = rest.partition(" ")
        with member.slots:
            time.sleep(group.service_s)
        if verb == "READ":
            group.runs.append((now(), member.name, ident, text, self.organisation))
            record(f"member {member.name} runs {ident} for {self.organisation}")
            if group.on_run:
                group.on_run(member, ident, text)
            with group.lock:
                value = member.value(item)
            rows = group.rows_of(item) if group.rows_of else [value]
            return self.finish(rows, self.sign(ident))
        if verb == "WRITE":
            if self.open is not None:
                if not member.is_primary:
                    return self.fail("READONLY", member.name)
                group.runs.append((now(), member.name, ident, text, self.organisation))
                self.open.append((ident, item, data))
                return self.finish([], self.sign(ident))
            return self.commit(ident, text, [(ident, item, data)])
        self.fail("MALFORMED")

    def sign(self, ident):
        return f"sig.{ident}"

    def commit(self, ident, text, writes):
        """Commits and answers once one replica has received the commit."""
        member, group = self.member, self.group
        with group.lock:
            if not member.is_primary:
                is_refused = True
            else:
                is_refused = False
                number = member.position()[1] + 1
                position = (member.term, number)
                for write_id, item, data in writes:
                    member.log.append((position, write_id, item, data))
                group.runs.append((now(), member.name, ident, text, self.organisation))
                group._replicate()
                received_by = None
                while received_by is None:
                    if not member.is_up or self.conn not in member.connections:
                        raise Closed
                    received_by = next(
                        (
                            m.name
                            for m in group.members.values()
                            if m is not member
                            and m.is_up
                            and not m.is_deaf
                            and any(entry[0] == position for entry in m.log)
                        ),
                        None,
                    )
                    if received_by is None:
                        if not any(entry[0] == position for entry in member.log):
                            raise Closed
                        group.lock.wait(0.05)
        if is_refused:
            return self.fail("READONLY", member.name)
        record(f"member {member.name} commits {ident} at {show(position)}, received by {received_by}")
        if group.on_run:
            group.on_run(member, ident, text)
        self.finish([], self.sign(ident))


class CloudApi:
    """The platform's interface for singleton duties."""

    def __init__(self, group):
        self.group = group
        self.orders = []
        self.on_order = None
        self.server = HttpServer(self.handle, backlog=0)
        self.address = self.server.address

    def handle(self, method, path, query, headers, body):
        if path != "/promotion":
            return 404, None
        holder, token = headers.get("x-duty-holder"), int(headers.get("x-fencing-token", "0"))
        name = body["id"]
        self.orders.append((now(), holder, token, name))
        record(f"platform got POST /promotion for {name} from {holder} with token {token}")
        with self.group.lock:
            member = self.group.members.get(name)
            is_running = member is not None and member.is_up
        if not is_running:
            return 409, None
        if self.on_order:
            self.on_order(holder, token, name)

        def later():
            time.sleep(self.group.promote_s)
            self.group.promote(name)

        spawn(later)
        return 200, {}


# --- hosts and clients --------------------------------------------------------


def deploy_command():
    with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
        return tomllib.load(file)["roles"]["entry"]["run"].split()


class Host:
    """A host of the project as a separate process."""

    def __init__(self, name, store, cloud, folder, memory_mb=182, grace_s=6):
        self.name = name
        ports = free_ports(4)
        self.front, self.ready = ports[0], ports[1]
        inner = sorted(ports[2:])
        self.settings = os.path.join(folder, f"{name}.toml")
        with open(self.settings, "w") as file:
            file.write(
                f"""nodeName = "{name}"
role = "entry"
machineClass = "edge"
serves = ["edge"]
ip = "127.0.0.1"
zone = "zone-a"
region = "region-a"
innerPortRange = [{inner[0]},{inner[1]}]
seeds = []
bootstrap = true
heartbeatMs = 1200
[zones]
zone-a = "region-a"
[listen]
front = "127.0.0.1:{self.front}"
ready = "127.0.0.1:{self.ready}"
[limits]
cpuShare = 0.17
cores = 1
memoryMb = {memory_mb}
maxFds = 3010
linkMbps = 700.0
diskMb = 0
[bounds]
contactMs = 4000
drainMs = 7000
graceS = {grace_s}
configApplyMs = 3000
revokeMs = 5000
quotaWindowS = 5
quotaExcess = 0.1
quotaSlack = 20
fencing = false
thawSlackMs = 300
[platform]
address = "{store}"
form = "kv"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
[cloudApi]
address = "{cloud}"
ratePerS = 50.0
duties = ["promotion"]
dutiesPerS = 50.0
"""
            )
        self.log = os.path.join(folder, f"{name}.log")
        self.start()

    def start(self):
        environment = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        environment["BURDOCKSLIP_BOOT"] = self.settings
        self.process = subprocess.Popen(
            deploy_command(),
            cwd=ROOT,
            env=environment,
            stdout=open(self.log, "a"),
            stderr=subprocess.STDOUT,
            stdin=subprocess.DEVNULL,
        )
        self.pid = self.process.pid
        record(f"host {self.name} started as process {self.pid}, front port {self.front}")

    def is_ready(self):
        try:
            with socket.create_connection(("127.0.0.1", self.ready), 1) as sock:
                sock.settimeout(1)
                sock.sendall(b"GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n")
                return sock.recv(64).startswith(b"HTTP/1.1 200")
        except OSError:
            return False

    def stop(self):
        try:
            os.kill(self.pid, signal.SIGCONT)
        except OSError:
            pass
        self.process.kill()
        self.process.wait()

    def text(self):
        with open(self.log, errors="replace") as file:
            return file.read()


PORTS = range(12_000, 32_000)
USED_PORTS = set()


def free_ports(count):
    """Finds free ports below the range from which the system takes ephemeral ones."""
    ports = []
    while len(ports) < count:
        port = random.choice(PORTS)
        if port in USED_PORTS:
            continue
        with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
        USED_PORTS.add(port)
        ports.append(port)
    return ports


class Client:
    """A client session. Lines end with CR LF; the last field extends to the line's end."""

    def __init__(self, port, database, key, timeout=3.0):
        self.sock = socket.create_connection(("127.0.0.1", port), timeout)
        self.sock.settimeout(timeout)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.buffer = b""
        self.sock.sendall(f"CONNECT {database} {key}\r\n".encode())
        line = self.line()
        if not line.startswith("READY"):
            raise ConnectionError(line)

    def line(self):
        while b"\r\n" not in self.buffer:
            data = self.sock.recv(65536)
            if not data:
                raise ConnectionError("closed")
            self.buffer += data
        line, self.buffer = self.buffer.split(b"\r\n", 1)
        return line.decode("latin-1")

    def query(self, ident, text):
        """Returns the rows, the result line and the ready line."""
        self.sock.sendall(f"QUERY {ident} {text}\r\n".encode("latin-1"))
        rows = []
        while True:
            line = self.line()
            if line.startswith("ROW "):
                rows.append(line[4:])
            else:
                return rows, line, self.line()

    def close(self):
        self.sock.close()


def configuration(service, version=3, rate=2000, timeout_ms=800, aim_ms=200, staleness_ms=2500):
    def route(host, kind):
        return {
            "name": f"r-{host}",
            "host": host,
            "prefix": "/",
            "routeType": kind,
            "timeoutMs": timeout_ms,
            "targetLatencyMs": aim_ms,
            "priority": 1,
            "service": service,
            "maxAttempts": 2,
            "maxStalenessMs": staleness_ms,
            "noAuth": False,
        }

    return {
        "version": version,
        "routes": [
            route("strong", "primary"),
            route("bounded", "bounded_staleness"),
            route("own", "read_own_writes"),
        ],
        "services": [
            {"name": service, "healthPath": "/health", "maxConns": 61, "syncReplicas": 1}
        ],
        "limits": {"txIdleMs": 2000},
        "tenants": [
            {
                "name": "tenant-a",
                "apiKeys": ["key-a"],
                "priority": 1,
                "ratePerS": rate,
                "burst": rate,
            }
        ],
    }


class World:
    """Store, group, cloud interface and hosts of a case."""

    def __init__(
        self, hosts, promote_s=1.0, service="ledger", slots=64, service_s=0.004, **config
    ):
        self.folder = tempfile.mkdtemp(prefix="burdockslip-review-")
        self.store = Store()
        self.group = Group(
            self.store, service, promote_s=promote_s, slots=slots, service_s=service_s
        )
        self.cloud = CloudApi(self.group)
        self.store.put_json("op/config", configuration(service, **config))
        self.hosts = {}
        for number in range(1, hosts + 1):
            self.add_host(f"edge-{number}")

    def add_host(self, name):
        host = Host(name, self.store.address, self.cloud.address, self.folder)
        self.hosts[name] = host
        self.group.processes[name] = host.pid
        return host

    def wait_ready(self, limit=20):
        until = now() + limit
        while now() < until:
            if all(h.is_ready() for h in self.hosts.values()) and self.store.get(
                "burdockslip/groups/" + self.group.name
            ):
                if len([k for k in self.store.items if k.startswith("burdockslip/hosts/")]) >= len(
                    self.hosts
                ):
                    record("all hosts are ready")
                    return True
            time.sleep(0.1)
        record("the hosts didn't become ready in time")
        return False

    def coordinator(self):
        """Returns the name of the host that last logged that it took the duty."""
        found = None
        for name, host in self.hosts.items():
            for line in host.text().splitlines():
                if "duty taken" in line:
                    stamp = line.split("time=")[1].split(" ")[0] if "time=" in line else ""
                    if found is None or stamp > found[0]:
                        found = (stamp, name)
        return found[1] if found else None

    def close(self):
        for host in self.hosts.values():
            host.stop()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            for host in self.hosts.values():
                shutil.copy(host.log, keep)
        shutil.rmtree(self.folder, ignore_errors=True)


def main(run):
    """Runs a case: `run(with_trouble)` returns True if the rule held, False if it was
    broken and None if the case could not run."""
    global RECORD
    folder = os.path.dirname(os.path.abspath(sys.argv[0]))
    RECORD = Record(os.path.join(folder, "record.txt"))
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    with_trouble = os.environ.get("TROUBLE", "1") != "0"
    program = os.path.join(ROOT, deploy_command()[0])
    if not os.path.exists(program):
        record("the program has not been built")
        sys.exit(2)
    try:
        outcome = run(with_trouble)
    except Exception as error:
        record(f"the case could not run: {error!r}")
        outcome = None
    code = 2 if outcome is None else 0 if outcome else 1
    record(f"exit code {code}")
    sys.stdout.flush()
    os._exit(code)

"""Stand-ins whose links can be cut: a cut holds bytes back without a reset.

A connection of a host is recognised by the process that owns its socket. Hosts reach each
other through proxies, whose ports take the place of their own in the hosts' registrations.
"""

import asyncio
import json
import os
import struct
import urllib.parse

import standin
from standin import LOOPBACK, Service, Store, free_ports, now, reset, serve


class Links:
    def __init__(self):
        self.cuts = set()

    def cut(self, left, right):
        self.cuts |= {frozenset((one, other)) for one in left for other in right}

    def heal(self):
        self.cuts.clear()

    def is_cut(self, one, other):
        return frozenset((one, other)) in self.cuts

    async def wait(self, one, other):
        while self.is_cut(one, other):
            await asyncio.sleep(0.005)


LINKS = Links()


def owner(world, writer):
    """Returns the name of the host whose process opened a connection."""
    port = writer.get_extra_info("peername")[1]
    wanted = f"0100007F:{port:04X}"
    with open("/proc/net/tcp", encoding="ascii") as table:
        rows = [line.split() for line in table.read().splitlines()[1:]]
    inode = next((row[9] for row in rows if row[1] == wanted), None)
    for host in world.hosts.values():
        folder = f"/proc/{host.process.pid}/fd"
        try:
            for name in os.listdir(folder):
                if os.readlink(f"{folder}/{name}") == f"socket:[{inode}]":
                    return host.name
        except OSError:
            pass
    return None


class CutService(Service):
    world = None

    async def connection(self, member, reader, writer):
        host = owner(self.world, writer)
        state = {"tx": None, "failed": False, "prepared": {}, "values": {}}
        while True:
            line = await reader.readuntil(b"\r\n")
            await LINKS.wait(host, member.name)
            if reader.at_eof() or reader.exception():
                return
            answer = await self.line(member, state, line[:-2].decode())
            if answer is None:
                reset(writer)
                return
            await LINKS.wait(host, member.name)
            writer.write(answer.encode())
            await writer.drain()

    def replicate(self, primary):
        for member in self.members.values():
            member.is_deaf = LINKS.is_cut(primary.name, member.name)
        return super().replicate(primary)

    def write_record(self, member):
        # An entry changes when more than `sequence` changes.
        if not LINKS.is_cut(member.name, "store"):
            super().write_record(member)

    async def beat(self):
        written = {}
        while True:
            for member in self.members.values():
                known = (member.is_primary, member.state)
                if written.get(member.name) != known and not LINKS.is_cut(member.name, "store"):
                    written[member.name] = known
                    self.write_record(member)
            leader = self.primary()
            # An old primary steps down a second after it can reach the new one.
            for member in self.members.values():
                if member.is_primary and member is not leader and not LINKS.is_cut(
                    member.name, leader.name
                ):
                    member.reached = getattr(member, "reached", None) or now()
                    if now() - member.reached > 1:
                        member.is_primary, member.reached = False, None
                        self.write_record(member)
            self.replicate(leader)
            await asyncio.sleep(0.05)


class CutStore(Store):
    def __init__(self, record):
        super().__init__(record)
        # How much longer each answer takes, in seconds.
        self.slow = 0.0
        self.ports, self.proxies = {}, {}
        # When the record of a group was last written.
        self.group_written = 0.0

    async def connection(self, host, reader, writer):
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            lines = head.decode().split("\r\n")
            method, target, _ = lines[0].split(" ")
            headers = dict(line.lower().split(": ", 1) for line in lines[1:] if line)
            body = await reader.readexactly(int(headers.get("content-length", 0)))
            await LINKS.wait(host, "store")
            if reader.at_eof() or reader.exception():
                return
            url = urllib.parse.urlsplit(target)
            query = dict(urllib.parse.parse_qsl(url.query))
            data = json.loads(body) if body else {}
            status, answer = await self.answer(host, method, url.path, query, data)
            await asyncio.sleep(0.004 + self.slow)
            puts = [put["key"] for put in data.get("puts", [])]
            if status == 200 and any(key.startswith("burdockslip/groups/") for key in puts):
                self.group_written = now()
            await LINKS.wait(host, "store")
            payload = json.dumps(answer).encode() if answer is not None else b""
            writer.write(
                f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                f"Content-Length: {len(payload)}\r\n\r\n".encode() + payload
            )
            await writer.drain()

    def put(self, key, value, lease=0):
        if key.startswith("burdockslip/hosts/"):
            name = key.rsplit("/", 1)[1]
            port = lambda number: bytes([127, 0, 0, 1, 251]) + struct.pack("<H", number)  # noqa: E731
            value = value.replace(port(self.ports[name]), port(self.proxies[name]))
        super().put(key, value, lease)


async def proxy(world, name, port):
    """Forwards connections to a host's port for peers; returns the proxy's port."""

    async def forward(reader, writer):
        host = owner(world, writer)
        await LINKS.wait(host, name)
        inner_reader, inner_writer = await asyncio.open_connection(LOOPBACK, port)

        async def pump(source, sink):
            try:
                while data := await source.read(65536):
                    await LINKS.wait(host, name)
                    sink.write(data)
                    await sink.drain()
            except ConnectionError:
                pass
            finally:
                sink.close()

        await asyncio.gather(pump(reader, inner_writer), pump(inner_reader, writer))

    _, address = await serve(forward)
    return int(address.split(":")[1])


def use():
    """Makes worlds use these stand-ins."""
    standin.Service, standin.Store = CutService, CutStore


async def prepare(world):
    """Gives the hosts their addresses, with proxies between them."""
    CutService.world = world
    for host in world.hosts.values():
        port = free_ports(8)
        host.front, host.ready = f"{LOOPBACK}:{port}", f"{LOOPBACK}:{port + 1}"
        host.inner = (port + 2, port + 6)
        host.store_address = await world.store.listen(host.name)
        host.settings()
        world.store.ports[host.name] = port + 2
        world.store.proxies[host.name] = await proxy(world, host.name, port + 2)

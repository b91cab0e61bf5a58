"""A stand-in platform, servers, network and clients for the review's scripts.

Everything except the project's own program runs in this one process, on loopback addresses and the
real clock: the metadata store, the orders API, the database servers, the relays between the hosts,
and the clients. The program runs as separate processes, one a host, with the command of
`deploy/system.toml` and the keys of `platform/settings.ini`. `announced` is the only further key: it
puts a relay between the hosts.

A link between two ends is named (from, to), with `h1` .. for hosts, `s1` .. for servers, `store` and
`cloud`. While a link is cut, what is sent on it arrives after the cut, if its connection is still
open then; datagrams are lost.
"""

import asyncio
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
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
PROGRAM = os.path.join(ROOT, "target", "release", "flamingopost")


# How often the hosts are started until all serve.
STARTS = 3


class StartError(Exception):
    """The hosts don't serve before the case begins."""


def now():
    return time.monotonic()


# Ports of hosts lie below those that the system gives to outgoing connections.
PORTS = range(12_000, 32_000)


def free_ports(count):
    """Returns the first of `count` free ports in a row, for TCP and UDP."""
    for _ in range(200):
        first = random.randrange(PORTS.start, PORTS.stop - count)
        held = []
        try:
            for port in range(first, first + count):
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    one = socket.socket(socket.AF_INET, kind)
                    held.append(one)
                    one.bind(("127.0.0.1", port))
            return first
        except OSError:
            continue
        finally:
            for one in held:
                one.close()
    raise RuntimeError("no free ports")


class Record:
    """Writes what was sent, answered and run, with the time since the start of the run."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.start = now()

    def write(self, text):
        self.file.write("%9.4f %s\n" % (now() - self.start, text))

    def say(self, text):
        self.write(text)
        print("%9.4f %s" % (now() - self.start, text), flush=True)


class Net:
    """Which links are cut, and the latency of datagrams between hosts."""

    def __init__(self, record):
        self.cuts = set()
        self.record = record
        self.changed = asyncio.Event()

    def cut(self, pairs):
        self.cuts |= set(pairs)
        self.record.say("cut: " + ", ".join(sorted("%s>%s" % pair for pair in pairs)))

    def heal(self):
        self.cuts.clear()
        self.changed.set()
        self.changed = asyncio.Event()
        self.record.say("all links are whole again")

    def is_open(self, source, target):
        return (source, target) not in self.cuts

    async def pass_link(self, source, target):
        while not self.is_open(source, target):
            await self.changed.wait()


def both(one, others):
    """Returns the links between `one` and each of `others`, in both directions."""
    return [(one, it) for it in others] + [(it, one) for it in others]


# ---------------------------------------------------------------------------------------- store


class Store:
    """The platform's metadata store: rows, transactions under conditions, and a feed."""

    def __init__(self, net, record):
        self.net, self.record = net, record
        self.rows = {}
        self.history = []
        self.version = 0
        self.changed = asyncio.Event()
        self.delay = 0.004
        self.on_claim = None

    def transact(self, change, by):
        current = lambda it: self.rows.get((it["table_name"], it.get("part", ""), it["key"]))
        conditions = change.get("precondition", [])
        for it in conditions:
            row = current(it)
            if (row["schema_version"] if row else 0) != it["schema_version"]:
                rows = [row for row in map(current, conditions) if row]
                return 412, {"rows": rows, "has_more": False, "schema_version": self.version}
        self.version += 1
        for it in change.get("upserts", []):
            row = {
                "table_name": it["table_name"],
                "part": it.get("part", ""),
                "key": it["key"],
                "value": it.get("value", ""),
                "schema_version": self.version,
            }
            self.rows[(row["table_name"], row["part"], row["key"])] = row
            self.history.append(row)
            if row["table_name"].endswith("claims") and self.on_claim:
                self.on_claim(by, row["key"])
        for it in change.get("deletes", []):
            self.rows.pop((it["table_name"], it.get("part", ""), it["key"]), None)
            self.history.append(dict(it, schema_version=self.version, value="", deleted=True))
        self.changed.set()
        self.changed = asyncio.Event()
        return 200, {"rows": [], "has_more": False, "schema_version": self.version}

    def put(self, table, key, value):
        text = base64.b64encode(json.dumps(value).encode()).decode()
        row = {"table_name": table, "part": "", "key": key, "value": text}
        self.transact({"upserts": [row]}, "platform")

    def page(self, rows):
        return {
            "rows": rows,
            "has_more": False,
            "schema_version": self.version,
            "now_ms": int(now() * 1000),
        }

    async def answer(self, host, method, path, query, headers, body):
        await asyncio.sleep(self.delay)
        field = lambda name: query.get(name, [""])[0]
        if path == "/rows-tx":
            return self.transact(json.loads(body), host)
        if path == "/rows-get":
            table, part, start = field("table_name"), field("part"), field("from")
            rows = [
                row
                for (name, place, key), row in sorted(self.rows.items())
                if name == table and place == part and key >= start
            ]
            return 200, self.page(rows)
        if path == "/rows-feed":
            table, after = field("table_name"), int(field("after"))
            until = now() + min(30, int(field("wait_ms")) / 1000)
            while True:
                rows = [
                    row
                    for row in self.history
                    if row["table_name"] == table and row["schema_version"] > after
                ]
                if rows or now() >= until:
                    return 200, self.page(rows)
                try:
                    await asyncio.wait_for(self.changed.wait(), max(0.001, until - now()))
                except asyncio.TimeoutError:
                    pass
        return 404, {}


async def serve_http(net, host, end, answer):
    """Serves HTTP for one host, as the end `end`, and returns the port."""

    async def connection(reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                method, target, _ = lines[0].split(" ", 2)
                headers = {}
                for line in lines[1:]:
                    if ":" in line:
                        name, value = line.split(":", 1)
                        headers[name.strip().lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                await net.pass_link(host, end)
                if reader.at_eof():
                    return
                url = urllib.parse.urlsplit(target)
                query = urllib.parse.parse_qs(url.query, keep_blank_values=True)
                status, value = await answer(host, method, url.path, query, headers, body)
                await net.pass_link(end, host)
                text = json.dumps(value).encode()
                writer.write(
                    b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nStore-Era: 0\r\n"
                    b"Content-Length: %d\r\n\r\n" % (status, len(text))
                    + text
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError, OSError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(connection, "127.0.0.1", 0)
    return server.sockets[0].getsockname()[1]


# -------------------------------------------------------------------------------------- servers


class Entry:
    """A committed write."""

    def __init__(self, term, number, item, data, query):
        self.term, self.number, self.item, self.data = term, number, item, data
        self.query = query
        self.at = now()
        self.acknowledged = None

    def __repr__(self):
        return "%d.%d" % (self.term, self.number)


class Server:
    """A database server."""

    def __init__(self, group, name, zone):
        self.group, self.name, self.zone = group, name, zone
        self.id = "i-%s" % name
        self.role, self.term = "replica", 1
        self.log = []
        self.applied = 0
        self.running = True
        self.deaf = False
        self.draining = False
        self.born = int(time.time() * 1000)
        self.slots = asyncio.Semaphore(group.slots)
        self.connections = set()
        self.listener = None
        self.port = None
        self.reaches_successor_since = None
        self.entry = None

    async def listen(self):
        for _ in range(100):
            try:
                self.listener = await asyncio.start_server(
                    self.connection, "127.0.0.1", self.port or 0
                )
                break
            except OSError:
                await asyncio.sleep(0.05)
        self.port = self.listener.sockets[0].getsockname()[1]

    def register(self):
        entry = {
            "service": self.group.service,
            "address": "127.0.0.1:%d" % self.port,
            "zone": self.zone,
            "version": "v1",
            "capacity": self.group.slots,
            "state": "draining" if self.draining else "ready",
            "cold_left_ms": 0,
            "sequence": 1,
            "reported_role": self.role,
            "born": self.born,
        }
        # The row changes when more than the count of heartbeats does.
        if entry != self.entry:
            self.entry = entry
            self.group.store.put("servers", self.id, entry)

    def set_role(self, role):
        if self.role != role:
            self.role = role
            self.group.record.say("%s: %s is %s, term %d" % (self.group.service, self.name, role, self.term))
            self.register()

    def end(self, how):
        """The process ends; its connections are reset and its log stays."""
        self.running = False
        self.listener.close()
        for writer in list(self.connections):
            writer.transport.abort()
        self.group.record.say("%s: %s %s" % (self.group.service, self.name, how))

    async def restart(self):
        """Comes back with its log: as a replica if another server was promoted."""
        newest = max(it.term for it in self.group.servers.values())
        if newest > self.term:
            self.role, self.term = "replica", newest
        self.applied = len(self.log)
        self.draining = False
        self.born = int(time.time() * 1000)
        self.running = True
        await self.listen()
        self.register()
        self.group.record.say("%s: %s is back as %s" % (self.group.service, self.name, self.role))

    def received(self):
        """The position up to which the log was received: the last entry."""
        last = self.log[-1] if self.log else None
        return "%d.%d" % (last.term, last.number) if last else "%d.0" % self.term

    def position(self):
        """The position of the data: a primary without a write of its term shows the term's start."""
        if self.role == "primary":
            if not self.log or self.log[-1].term < self.term:
                return "%d.0" % self.term
            return self.received()
        if self.applied == 0:
            return "%d.0" % self.term
        last = self.log[self.applied - 1]
        return "%d.%d" % (last.term, last.number)

    def lacks(self, term, number):
        if number == 0:
            return False
        if self.role == "primary":
            last = self.log[-1] if self.log else None
        else:
            last = self.log[self.applied - 1] if self.applied else None
        return last is None or (last.term, last.number) < (term, number)

    async def connection(self, reader, writer):
        group, net = self.group, self.group.net
        self.connections.add(writer)
        tx, staged, prepared, values = None, [], {}, {}
        try:
            hello = (await reader.readuntil(b"\n")).decode().strip().split(" ")
            host = hello[2] if len(hello) > 2 else "?"
            await net.pass_link(host, self.name)
            if hello[1] != group.service or len(hello) > 3 and hello[3] != self.id:
                writer.write(b"ERROR MISROUTED -\r\n")
                return
            if len(self.connections) > group.max_conns:
                writer.write(b"ERROR CONNLIMIT -\r\n")
                return
            async with self.slots:
                await asyncio.sleep(group.handshake)
            await net.pass_link(self.name, host)
            writer.write(("READY I %s\r\n" % self.position()).encode())
            while True:
                line = (await reader.readuntil(b"\n")).decode().rstrip("\r\n")
                await net.pass_link(host, self.name)
                # What a host sent into a cut and then gave up on is lost with its connection.
                if reader.at_eof() or not line.startswith("QUERY "):
                    return
                _, query, text = line.split(" ", 2)
                rest, out = text, None
                if rest.startswith("WAITLSN "):
                    _, position, rest = rest.split(" ", 2)
                    term, number = position.split(".")
                    if self.lacks(int(term), int(number)):
                        out = "ERROR LAGGING %s\r\n" % self.id
                verb, _, tail = rest.partition(" ")
                if out is not None:
                    pass
                elif verb == "BEGIN":
                    if tail != "FETCH" and self.role != "primary":
                        out = "ERROR READONLY %s\r\n" % self.id
                    else:
                        tx, staged = ("R" if tail == "FETCH" else "W"), []
                        out = "COMPLETE -\r\n"
                elif verb == "ROLLBACK":
                    tx, staged, out = None, [], "COMPLETE -\r\n"
                elif verb in ("SET", "DISCARD", "DEALLOC"):
                    out = "COMPLETE -\r\n"
                elif verb == "PREPARE":
                    name, _, shape = tail.partition(" ")
                    prepared[name] = shape
                    out = "COMPLETE -\r\n"
                elif verb in ("STATUS", "STEPDOWN"):
                    async with self.slots:
                        if verb == "STEPDOWN" and self.role == "primary" and self.term < int(tail):
                            self.term = int(tail)
                            self.set_role("replica")
                        row = "%s %d %s %d 0 0 %d" % (
                            self.role,
                            self.term,
                            self.received(),
                            self.term,
                            len(self.connections),
                        )
                        group.record.write("%s %s STATUS -> %s" % (self.name, host, row))
                    out = "DATAROW %s\r\nCOMPLETE -\r\n" % row
                elif verb in ("FETCH", "STORE", "EXECUTE", "COMMIT"):
                    async with self.slots:
                        await asyncio.sleep(group.work)
                        if not self.running:
                            return
                        if verb == "EXECUTE":
                            name, _, tail = tail.partition(" ")
                            verb = prepared[name].split(" ")[0]
                        item, _, data = tail.partition(" ")
                        if tx == "W" and self.role != "primary" and verb != "COMMIT":
                            out = "ERROR READONLY %s\r\n" % self.id
                        elif verb == "FETCH":
                            out = "DATAROW %s\r\nCOMPLETE %s\r\n" % (
                                self.fetch(item, staged),
                                group.ran(self, host, query, text),
                            )
                        elif verb == "STORE" and tx == "W":
                            staged.append((item, data))
                            out = "COMPLETE %s\r\n" % group.ran(self, host, query, text)
                        elif self.role != "primary" and (verb == "STORE" or staged):
                            out = "ERROR READONLY %s\r\n" % self.id
                            tx, staged = None, []
                        else:
                            writes = [(item, data)] if verb == "STORE" else staged
                            for item, data in writes:
                                self.commit(item, data, query)
                            if group.sync and writes:
                                await self.received_elsewhere(self.log[-1])
                            if verb == "COMMIT":
                                tx, staged = None, []
                            out = "COMPLETE %s\r\n" % group.ran(self, host, query, text)
                else:
                    out = "ERROR MALFORMED %s\r\n" % self.id
                await net.pass_link(self.name, host)
                state = "T" if tx else "I"
                writer.write((out + "READY %s %s\r\n" % (state, self.position())).encode())
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError, OSError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def received_elsewhere(self, entry):
        """Waits until a replica has received `entry`, where commits are synchronous."""
        others = [it for it in self.group.servers.values() if it is not self]
        while not any(entry in it.log for it in others):
            await asyncio.sleep(0.001)
            if not self.running or entry not in self.log:
                raise ConnectionError("the commit is not acknowledged")

    def fetch(self, item, staged):
        for name, data in reversed(staged):
            if name == item:
                return data
        log = self.log if self.role == "primary" else self.log[: self.applied]
        for entry in reversed(log):
            if entry.item == item:
                return entry.data
        return "-"

    def commit(self, item, data, query):
        number = self.log[-1].number + 1 if self.log else 1
        entry = Entry(self.term, number, item, data, query)
        self.log.append(entry)
        self.group.entries[query] = entry


class Group:
    """A service: one primary and its replicas."""

    def __init__(self, service, names, zones, store, net, record, **sizes):
        self.service, self.store, self.net, self.record = service, store, net, record
        self.slots = sizes.get("slots", 2)
        self.max_conns = sizes.get("max_conns", 16)
        self.handshake = sizes.get("handshake", 0.012)
        self.work = sizes.get("work", 0.003)
        self.receive = sizes.get("receive", 0.002)
        self.lag = sizes.get("lag", 0.060)
        self.promote_s = sizes.get("promote_s", 0.3)
        # Whether a replaced primary goes on until STEPDOWN, or a second after it can reach the new one.
        self.leads_on = sizes.get("leads_on", True)
        # `sync_replicas`: how many replicas must have received a commit before it is acknowledged.
        self.sync = sizes.get("sync", 0)
        self.servers = {name: Server(self, name, zone) for name, zone in zip(names, zones)}
        self.servers[names[0]].role = "primary"
        self.entries = {}
        # The newest term that a server has led.
        self.term = 1
        self.signatures = 0
        self.on_run = None
        self.on_promote = None

    async def start(self):
        for server in self.servers.values():
            await server.listen()
            server.register()
        self.task = asyncio.create_task(self.replicate())

    def ran(self, server, host, query, text):
        self.signatures += 1
        self.record.write("%s runs %s for %s: %s" % (server.name, query, host, text))
        if self.on_run:
            self.on_run(server, host, query, text)
        return "%s.%d" % (server.name, self.signatures)

    def primary(self):
        """The primary of the newest term."""
        leading = [it for it in self.servers.values() if it.role == "primary"]
        return max(leading, key=lambda it: it.term, default=None)

    def promote(self, name):
        server = self.servers[name]
        if not server.running or server is self.primary():
            return
        if self.on_promote:
            self.on_promote(server)
        self.term += 1
        server.term = self.term
        server.applied = len(server.log)
        server.set_role("primary")
        for other in self.servers.values():
            if other is not server and other.role == "primary" and not self.leads_on:
                other.term = server.term
                other.set_role("replica")

    async def replicate(self):
        """Replicas receive the log of the newest primary that they can hear, and apply it later."""
        while True:
            await asyncio.sleep(0.002)
            for server in self.servers.values():
                if not server.running:
                    continue
                heard = [
                    it
                    for it in self.servers.values()
                    if it is not server
                    and it.running
                    and it.role == "primary"
                    and it.term >= server.term
                    and not server.deaf
                    and self.net.is_open(it.name, server.name)
                    and self.net.is_open(server.name, it.name)
                ]
                leader = max(heard, key=lambda it: it.term, default=None)
                if server.role == "primary":
                    if leader is None or leader.term <= server.term:
                        server.reaches_successor_since = None
                        continue
                    since = server.reaches_successor_since or now()
                    server.reaches_successor_since = since
                    if now() >= since + 1.0:
                        server.term = leader.term
                        server.set_role("replica")
                    continue
                if leader is None:
                    continue
                server.term = leader.term
                same = 0
                for mine, theirs in zip(server.log, leader.log):
                    if mine is not theirs:
                        break
                    same += 1
                if same < len(server.log):
                    del server.log[same:]
                    server.applied = min(server.applied, same)
                for entry in leader.log[same:]:
                    if now() < entry.at + self.receive:
                        break
                    server.log.append(entry)
                while (
                    server.applied < len(server.log)
                    and now() >= server.log[server.applied].at + self.lag
                ):
                    server.applied += 1


class Orders:
    """The platform's API for orders."""

    def __init__(self, groups, record, fencing):
        self.groups = {it.service: it for it in groups}
        self.record, self.fencing = record, fencing
        self.newest = {}
        self.taken = []
        self.on_order = None

    async def answer(self, host, method, path, query, headers, body):
        order = json.loads(body)
        service, server = order["service"], order["id"][2:]
        token = int(headers["x-fencing-token"])
        holder = headers["x-duty-holder"]
        group = self.groups[service]
        status = 200
        if self.fencing and token < self.newest.get(service, 0):
            status = 409
        if not group.servers[server].running:
            status = 409
        self.newest[service] = max(token, self.newest.get(service, 0))
        self.taken.append((now(), service, server, holder, token, status))
        self.record.say(
            "order: promote %s of %s, holder %s, token %d, answered %d"
            % (server, service, holder, token, status)
        )
        if status == 200 and self.on_order:
            self.on_order(group.servers[server])
        if status == 200:
            asyncio.get_running_loop().call_later(group.promote_s, group.promote, server)
        await asyncio.sleep(0.004)
        return status, {}


# ---------------------------------------------------------------------------------------- hosts


class Relay(asyncio.DatagramProtocol):
    """Relays datagrams from all other hosts to one host, and its answers back."""

    def __init__(self, net, target, port, names):
        self.net, self.target, self.port, self.names = net, target, port, names
        self.sockets = {}

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, data, address):
        source = self.names.get(address[1])
        if source is None or not self.net.is_open(source, self.target):
            return
        if address in self.sockets:
            forward = self.sockets[address]
            if forward is not None:
                forward.sendto(data, ("127.0.0.1", self.port))
            return
        self.sockets[address] = None
        asyncio.create_task(self.open(address, source, data))

    async def open(self, address, source, data):
        relay = self

        class Back(asyncio.DatagramProtocol):
            def datagram_received(self, answer, _):
                if relay.net.is_open(relay.target, source):
                    relay.transport.sendto(answer, address)

        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(Back, local_addr=("127.0.0.1", 0))
        self.sockets[address] = transport
        transport.sendto(data, ("127.0.0.1", self.port))


class Host:
    """One entry host: a process of the program."""

    def __init__(self, name, zone, folder):
        self.name, self.zone, self.folder = name, zone, folder
        first = free_ports(5)
        self.callers, self.probe, self.peers, self.metrics = first, first + 1, first + 2, first + 4
        self.process = None

    async def prepare(self, net, store, orders, names):
        loop = asyncio.get_running_loop()
        relay = Relay(net, self.name, self.peers, names)
        transport, _ = await loop.create_datagram_endpoint(lambda: relay, local_addr=("127.0.0.1", 0))
        announced = transport.get_extra_info("sockname")[1]
        settings = (
            "[host]\nname = %s\nzone = %s\nip = 127.0.0.1\ncallers = 127.0.0.1:%d\n"
            "probe = 127.0.0.1:%d\nports = %d,%d\nannounced = 127.0.0.1:%d\nmetrics = %d\n"
            "grace = 6s\ndescriptors = 4300\nprocessors = 0.25\n\n"
            "[platform]\nstore = 127.0.0.1:%d\norders = 127.0.0.1:%d\n"
        ) % (
            self.name,
            self.zone,
            self.callers,
            self.probe,
            self.peers,
            self.peers + 1,
            announced,
            self.metrics,
            await serve_http(net, self.name, "store", store.answer),
            await serve_http(net, self.name, "cloud", orders.answer),
        )
        self.settings = os.path.join(self.folder, "%s.ini" % self.name)
        with open(self.settings, "w") as file:
            file.write(settings)

    def start(self):
        environment = {"PATH": os.environ.get("PATH", ""), "HOME": self.folder, "LANG": "C"}
        environment["FLAMINGOPOST_CONFIG"] = self.settings
        log = open(os.path.join(self.folder, "%s.log" % self.name), "ab")
        self.process = subprocess.Popen(
            [PROGRAM], cwd=ROOT, env=environment, stdout=log, stderr=log, stdin=subprocess.DEVNULL
        )
        log.close()

    def stop(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


class Client:
    """A client's session at one host."""

    def __init__(self, bed, host, database):
        self.bed, self.host, self.database = bed, host, database
        self.reader = self.writer = None

    async def open(self):
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.host.callers)
        self.writer.write(("STARTUP %s anybody\r\n" % self.database).encode())
        line = (await asyncio.wait_for(self.reader.readuntil(b"\n"), 2)).decode().strip()
        if not line.startswith("READY"):
            self.close()
            raise ConnectionError(line)

    def close(self):
        if self.writer:
            self.writer.close()
        self.reader = self.writer = None

    async def run(self, text, timeout=3):
        """Runs one statement, and returns (id, rows, end), or `end` None without an answer."""
        bed = self.bed
        bed.queries += 1
        query = "%s%06x" % (bed.nonce, bed.queries)
        rows, end = [], None
        try:
            if self.writer is None:
                await self.open()
            bed.sent[query] = now()
            bed.record.write("%s sends %s to %s: %s" % (self.database, query, self.host.name, text))
            self.writer.write(("QUERY %s %s\r\n" % (query, text)).encode())
            while True:
                line = await asyncio.wait_for(self.reader.readuntil(b"\n"), timeout)
                word, _, rest = line.decode().rstrip("\r\n").partition(" ")
                if word == "DATAROW":
                    rows.append(rest)
                elif word in ("COMPLETE", "ERROR"):
                    end = "%s %s" % (word, rest)
                    bed.record.write("%s answers %s: %s" % (self.host.name, query, end))
                    if word == "COMPLETE":
                        bed.answered[query] = self.host.name
                        if query in bed.entries():
                            bed.entries()[query].acknowledged = now()
                elif word == "READY":
                    return query, rows, end
        except (asyncio.TimeoutError, asyncio.IncompleteReadError, ConnectionError, OSError) as error:
            bed.record.write("%s has no answer to %s: %r" % (self.host.name, query, error))
            self.close()
            return query, rows, None


class Bed:
    """The hosts, the platform and one service."""

    def __init__(self, case, zones, **sizes):
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.record = Record(os.path.join(case, "record.txt"))
        self.net = Net(self.record)
        self.store = Store(self.net, self.record)
        names = ["s%d" % (n + 1) for n in range(3)]
        self.group = Group("ledger", names, zones, self.store, self.net, self.record, **sizes)
        self.orders = Orders([self.group], self.record, sizes.get("fencing", False))
        self.hosts = [
            Host("h%d" % (n + 1), zones[n // 2], self.folder) for n in range(2 * len(zones))
        ]
        self.sent = {}
        # Statements that were answered with success, and the host that answered.
        self.answered = {}
        self.queries = 0
        self.nonce = "%06x" % (int(time.time() * 1000) & 0xFFFFFF)

    def entries(self):
        return self.group.entries

    async def start(self):
        if not os.access(PROGRAM, os.X_OK):
            raise RuntimeError("there is no %s: build the program first" % PROGRAM)
        await self.group.start()
        routes = [("bookings", "primary", 0), ("status", "bounded_staleness", 1500)]
        self.store.put(
            "op",
            "config",
            {
                "version": 3,
                "routes": [
                    {
                        "name": name,
                        "host": name,
                        "kind": kind,
                        "timeout_ms": 800,
                        "goal_ms": 200,
                        "priority": 1,
                        "service": self.group.service,
                        "max_staleness_ms": age,
                    }
                    for name, kind, age in routes
                ],
                "services": [
                    {
                        "name": self.group.service,
                        "max_conns": self.group.max_conns,
                        "sync_replicas": self.group.sync,
                    }
                ],
                "limits": {"tx_idle_ms": 3000},
            },
        )
        names = {host.peers: host.name for host in self.hosts}
        for host in self.hosts:
            await host.prepare(self.net, self.store, self.orders, names)
        for host in self.hosts:
            host.start()
        until = now() + 10
        for host in self.hosts:
            while True:
                client = Client(self, host, "bookings")
                _, _, end = await client.run("FETCH warm-up")
                client.close()
                if end and end.startswith("COMPLETE"):
                    break
                if now() > until or host.process.poll() is not None:
                    raise StartError("%s does not serve" % host.name)
                await asyncio.sleep(0.1)
        self.record.say("all hosts serve")

    def ended(self):
        """Returns the hosts whose process has ended by itself."""
        return [host.name for host in self.hosts if host.process.poll() is not None]

    def stop(self):
        for host in self.hosts:
            host.stop()
        if os.environ.get("KEEP_LOGS"):
            print("logs are in %s" % self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def main(play, case, zones, **sizes):
    """Plays a case; `play` returns the exit code. Ends all processes in any event."""

    async def run():
        # Another program may take a port between its choice and the start of a host.
        for attempt in range(STARTS):
            bed = Bed(case, zones, **sizes)
            for name in (signal.SIGTERM, signal.SIGINT):
                asyncio.get_running_loop().add_signal_handler(
                    name, lambda bed=bed: (bed.stop(), os._exit(2))
                )
            try:
                await bed.start()
                return await asyncio.wait_for(play(bed), 75)
            except StartError as error:
                print("attempt %d to start: %s" % (attempt + 1, error))
            except Exception as error:
                print("the case could not run: %r" % error)
                return 2
            finally:
                bed.stop()
                bed.record.file.close()
                sys.stdout.flush()
        return 2

    async def run_and_exit():
        # Leaves at once: open connections have nothing more to say.
        os._exit(await run())

    asyncio.run(run_and_exit())

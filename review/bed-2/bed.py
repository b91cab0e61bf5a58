"""Stand-ins for the platform, the database servers and the clients, and a runner of host processes.

Everything runs on loopback addresses and the real clock, in one process besides the hosts. The
stand-ins follow PROTOCOL.md; where it is silent they behave like a sound server or client.
"""

import asyncio
import base64
import bisect
import functools
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
SERVICE = "ledger"
HEARTBEAT_S = 1.2
STORE_ANSWER_S = 0.004
STORE_WRITE_S = 0.006
ZONE_TRIP_S = 0.0028  # There and back between two zones, 1.4 ms each way.
TROUBLE = os.environ.get("TROUBLE", "1")
START = time.monotonic()


def now():
    return time.monotonic() - START


class Record:
    """What was sent, answered and run, one event a line."""

    def __init__(self, path):
        self.file = open(path, "w", buffering=1 << 16)

    def __call__(self, *words):
        self.file.write(f"{now():9.4f} " + " ".join(str(word) for word in words) + "\n")

    def close(self):
        self.file.close()


record = None


def spawn(coroutine):
    task = asyncio.get_running_loop().create_task(coroutine)
    TASKS.add(task)
    task.add_done_callback(TASKS.discard)
    return task


TASKS = set()


class Net:
    """Which zones reach each other. `PLATFORM` stands for the store and the platform's calls."""

    PLATFORM = "platform"

    def __init__(self):
        self.pairs, self.healed = {}, asyncio.Event()

    def is_cut(self, one, other):
        return frozenset((one, other)) in self.pairs

    def is_cut_for_hosts(self, one, other):
        return self.is_cut(one, other) or self.is_cut("hosts of " + one, "hosts of " + other)

    def cut(self, one, other):
        self.pairs[frozenset((one, other))] = now()
        record("net", one, "and", other, "are cut off from each other")

    def heal(self, which=""):
        for pair in list(self.pairs):
            if all(it.startswith(which) for it in pair):
                del self.pairs[pair]
        self.healed.set()
        self.healed = asyncio.Event()
        record("net cuts healed:", which or "all")

    def is_cut_for(self, one, other, seconds):
        return self.pairs.get(frozenset((one, other)), now()) + seconds < now()

    async def path(self, one, other):
        """Waits until there is a path."""
        while self.is_cut(one, other):
            await self.healed.wait()


class Datagrams(asyncio.DatagramProtocol):
    def __init__(self, received):
        self.received = received

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, data, address):
        self.received(data, address)


class Relay:
    """The address under which other hosts send datagrams to a host. Drops them where zones are cut."""

    def __init__(self, net, host):
        self.net, self.host, self.senders = net, host, {}

    async def start(self):
        loop = asyncio.get_running_loop()
        ip, port = self.host.callers[0], self.host.relay_port
        _, self.front = await loop.create_datagram_endpoint(
            lambda: Datagrams(self.arrive), local_addr=(ip, port))

    def arrive(self, data, address):
        sender = HOSTS_BY_IP.get(address[0])
        if sender is None or self.net.is_cut_for_hosts(sender.zone, self.host.zone):
            return
        if address in self.senders:
            back = self.senders[address]
            if back is not None:
                back.transport.sendto(data)
            return
        self.senders[address] = None
        spawn(self.open(address, data))

    async def open(self, address, data):
        def answer(reply, _):
            if not self.net.is_cut_for_hosts(HOSTS_BY_IP[address[0]].zone, self.host.zone):
                self.front.transport.sendto(reply, address)

        loop = asyncio.get_running_loop()
        _, back = await loop.create_datagram_endpoint(
            lambda: Datagrams(answer), remote_addr=(self.host.callers[0], self.host.callers[1] + 2))
        self.senders[address] = back
        back.transport.sendto(data)


HOSTS_BY_IP = {}


class Http:
    """A small HTTP/1.1 server with persistent connections."""

    def __init__(self, handler, path=None):
        self.handler, self.path = handler, path
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]
        return self

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                method, path, _ = lines[0].split(" ")
                headers = {}
                for line in lines[1:]:
                    if ":" in line:
                        name, value = line.split(":", 1)
                        headers[name.strip().lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                if self.path:
                    await self.path()
                answer = await self.handler(method, path, headers, body)
                if self.path:
                    await self.path()
                if answer is None:
                    # A connection on which an answer is lost delivers nothing further.
                    await asyncio.sleep(3600)
                status, content = answer
                data = json.dumps(content).encode()
                writer.write(
                    b"HTTP/1.1 %d X\r\ncontent-type: application/json\r\ncontent-length: %d\r\n\r\n"
                    % (status, len(data)) + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Store:
    """The platform's metadata store."""

    def __init__(self):
        self.rows, self.history, self.version = {}, [], 1
        self.changed = asyncio.Event()
        self.mode = "up"
        self.before_answer = None
        self.zone = None

    async def start(self):
        self.http = await Http(self.handle).start()
        self.address = self.http.address
        return self

    def put(self, table, key, value):
        self.apply([], [{"table_name": table, "part": "", "key": key,
                         "value": base64.b64encode(json.dumps(value).encode()).decode()}], [])

    def get(self, table):
        return {place[2]: json.loads(base64.b64decode(row["value"]))
                for place, row in self.rows.items() if place[0] == table and place[1] == ""}

    def apply(self, preconditions, upserts, deletes):
        place = lambda row: (row["table_name"], row.get("part", ""), row["key"])
        current = lambda row: self.rows.get(place(row), {}).get("schema_version", 0)
        if any(current(row) != row["schema_version"] for row in preconditions):
            held = [self.rows[place(row)] for row in preconditions if place(row) in self.rows]
            return 412, {"rows": held, "schema_version": self.version, "now_ms": int(now() * 1e3)}
        self.version += 1
        for row in upserts:
            kept = {"table_name": row["table_name"], "part": row.get("part", ""), "key": row["key"],
                    "value": row["value"], "schema_version": self.version}
            self.rows[place(row)] = kept
            self.history.append(kept)
        for row in deletes:
            if self.rows.pop(place(row), None):
                self.history.append({"table_name": row["table_name"], "part": row.get("part", ""),
                                     "key": row["key"], "value": "", "deleted": True,
                                     "schema_version": self.version})
        self.changed.set()
        self.changed = asyncio.Event()
        return 200, {"rows": [], "schema_version": self.version, "now_ms": int(now() * 1e3)}

    def trip(self, change):
        """How long a claim takes to the zone of the store and back."""
        for row in change.get("upserts", []):
            if self.zone and row["table_name"].endswith("claims"):
                holder = json.loads(base64.b64decode(row["value"])).get("holder", "")
                return 0 if self.zone in holder else ZONE_TRIP_S
        return 0

    async def handle(self, method, path, headers, body):
        path, _, query = path.partition("?")
        query = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        if self.mode == "silent":
            return None
        if self.mode == "busy":
            return 503, {}
        if path == "/rows-tx":
            change = json.loads(body)
            await asyncio.sleep(STORE_WRITE_S + self.trip(change))
            answer = self.apply(change.get("precondition", []), change.get("upserts", []),
                                change.get("deletes", []))
            for row in change.get("upserts", []):
                if row["table_name"].endswith("claims"):
                    text = base64.b64decode(row["value"]).decode()
                    record("store claim", row["key"], text, "->", answer[0], answer[1]["schema_version"])
            if self.before_answer:
                await self.before_answer(change, answer)
            return answer
        if path == "/rows-get":
            await asyncio.sleep(STORE_ANSWER_S)
            rows = [row for place, row in sorted(self.rows.items())
                    if place[0] == query["table_name"] and place[1] == query.get("part", "")
                    and place[2] >= query.get("from", "")]
            return 200, {"rows": rows, "has_more": False, "schema_version": self.version,
                         "now_ms": int(now() * 1e3)}
        if path == "/rows-feed":
            end = now() + int(query["wait_ms"]) / 1e3
            after = int(query["after"])
            while True:
                rows = [row for row in self.history if row["schema_version"] > after
                        and row["table_name"] == query["table_name"]]
                left = end - now()
                if rows or left <= 0:
                    break
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
            version = self.version
            await asyncio.sleep(STORE_ANSWER_S)
            return 200, {"rows": rows, "schema_version": version, "now_ms": int(now() * 1e3)}
        return 404, {}


class Server:
    """One database server. Its log is a list of (term, number, statement id)."""

    def __init__(self, group, index, zone):
        self.group, self.zone = group, zone
        self.id = f"i-{index:02d}{SERVICE[:2]}"
        self.log, self.term, self.leads = [], 1, False
        self.running, self.dark, self.deaf = False, False, False
        self.draining, self.in_list = False, True
        self.born = int(time.time() * 1e3)
        self.writers, self.port, self.sequence, self.signatures = set(), 0, 0, 0
        self.zones = {}  # The zone at the other end of each connection.
        self.slots = asyncio.Semaphore(group.slots)
        self.awake = asyncio.Event()
        self.awake.set()

    async def start(self):
        self.listener = await asyncio.start_server(self.serve, "127.0.0.1", self.port)
        self.port = self.listener.sockets[0].getsockname()[1]
        self.running = True
        spawn(self.heartbeat(self.born))

    def crash(self):
        """The process ends; a later start has the log."""
        self.running = False
        self.listener.close()
        for writer in list(self.writers):
            writer.transport.abort()
        record("server", self.id, "crashes with", self.position(True), "in its log")

    async def restart(self):
        leader = self.group.leader()
        self.leads = self.leads and (leader is None or leader is self or leader.term <= self.term)
        self.born = int(time.time() * 1e3)
        await self.start()
        self.group.catch_up()
        record("server", self.id, "is back as", "primary" if self.leads else "replica")

    def set_dark(self, dark):
        """Nothing is accepted, read or answered while the server is dark."""
        self.dark = dark
        self.awake.clear() if dark else self.awake.set()
        if not dark:
            spawn(self.report())
            self.group.catch_up()
        record("server", self.id, "goes dark" if dark else "is reachable again")

    def position(self, received=False):
        if self.log and (received or not self.leads or self.log[-1][0] == self.term):
            return "%d.%d" % self.log[-1][:2]
        return "%d.0" % self.term

    def entry(self):
        self.sequence += 1
        return {"service": SERVICE, "address": f"127.0.0.1:{self.port}", "zone": self.zone,
                "version": "v1", "capacity": self.group.slots,
                "state": "draining" if self.draining else "ready", "cold_left_ms": 0,
                "sequence": self.sequence, "born": self.born,
                "reported_role": "primary" if self.leads else "replica"}

    async def report(self):
        """Writes the server's entry, which takes as long as any write to the store."""
        await asyncio.sleep(STORE_WRITE_S)
        if self.running and not self.dark and not self.group.net.is_cut(self.zone, Net.PLATFORM):
            self.seen_at = now()
            self.group.store.put("servers", self.id, self.entry())

    async def heartbeat(self, born):
        while self.running and self.born == born:
            await self.report()
            await asyncio.sleep(HEARTBEAT_S)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        state, staged, values, prepared = "I", [], {}, {}
        try:
            trip, zone = 0, None

            async def line():
                data = await reader.readuntil(b"\r\n")
                if trip:
                    await asyncio.sleep(trip)
                await self.awake.wait()
                await self.group.net.path(self.zone, zone)
                return data[:-2].decode()

            def send(text):
                if self.running:
                    writer.write(text.encode())

            hello = (await line()).split(" ")
            who = hello[2]
            zone = "-".join(who.split("-")[1:3])
            await self.group.net.path(self.zone, zone)
            self.zones[writer] = zone
            if hello[0] != "STARTUP" or hello[1] != SERVICE or (len(hello) > 3 and hello[3] != self.id):
                send(f"ERROR MISROUTED {self.id}\r\n")
                return
            if len(self.zones) > self.group.max_conns:
                send(f"ERROR CONNLIMIT {self.id}\r\n")
                return
            trip = 0 if self.zone in who else ZONE_TRIP_S
            await asyncio.sleep(self.group.handshake + 2 * trip)
            await self.awake.wait()
            await self.group.net.path(self.zone, zone)
            send(f"READY I {self.position()}\r\n")
            while True:
                text = await line()
                if text == "TERMINATE":
                    return
                _, ident, text = text.split(" ", 2)
                error, rows, done = None, [], "-"
                rest = text
                if text.startswith("WAITLSN "):
                    _, position, rest = text.split(" ", 2)
                    wanted = tuple(int(part) for part in position.split("."))
                    last = self.log[-1][:2] if self.log else (0, 0)
                    if wanted[1] > 0 and last < wanted:
                        error = "LAGGING"
                verb, _, tail = rest.partition(" ")
                if error:
                    pass
                elif verb == "ROLLBACK":
                    state, staged = "I", []
                elif state == "E" and verb != "COMMIT":
                    error = "MALFORMED"
                elif verb == "BEGIN":
                    if tail != "FETCH" and not self.leads:
                        error = "READONLY"
                    else:
                        state, writable, staged = "T", tail != "FETCH", []
                elif verb in ("SET", "PREPARE"):
                    name, _, value = tail.partition(" ")
                    (values if verb == "SET" else prepared)[name] = value
                elif verb == "DISCARD":
                    values, prepared = {}, {}
                elif verb in ("STATUS", "STEPDOWN"):
                    if verb == "STEPDOWN" and self.leads and self.term < int(tail):
                        self.group.step_down(self)
                    role = "primary" if self.leads else "replica"
                    rows = [f"{role} {self.term} {self.position(True)} {self.term} 0 0 {len(self.writers)}"]
                elif verb in ("FETCH", "STORE", "COMMIT", "EXECUTE"):
                    if verb == "EXECUTE":
                        name, _, tail = tail.partition(" ")
                        verb = prepared.get(name, "").partition(" ")[0]
                    async with self.slots:
                        await asyncio.sleep(self.group.work)
                        await self.awake.wait()
                        if not self.running:
                            return
                        if not verb:
                            error = "NOSTMT"
                        elif state == "T" and writable and not self.leads and (verb != "COMMIT" or staged):
                            error = "READONLY"
                        elif verb == "FETCH":
                            item = tail.split(" ")[0]
                            rows = [next((e[2] for e in reversed(self.log) if e[3] == item), "-")]
                            # A log that is rolled back is replaced, so this one only grows.
                            self.group.reads[ident] = (self, self.log, len(self.log))
                        elif verb == "STORE" and state == "T":
                            if writable:
                                staged.append((ident, tail.split(" ")[0]))
                            else:
                                error = "READONLY"
                        elif verb == "COMMIT" and state == "E":
                            error, state, staged = "ABORTED", "I", []
                        elif verb == "STORE" and not self.leads:
                            error = "READONLY"
                        else:
                            writes = [(ident, tail.split(" ")[0])] if verb == "STORE" else staged
                            if writes:
                                entries = [self.append(*write) for write in writes]
                                await self.group.replicate(self, entries[-1])
                            if verb == "COMMIT":
                                state, staged = "I", []
                        if not error:
                            self.signatures += 1
                            done = f"{self.id}.{self.signatures}"
                            record("server", self.id, "term", self.term, "ran", ident, text, "from", who)
                else:
                    error = "MALFORMED"
                if error and error != "BUSY" and state == "T":
                    state = "E"
                out = "".join(f"DATAROW {row}\r\n" for row in rows)
                out += f"ERROR {error} {self.id}\r\n" if error else f"COMPLETE {done}\r\n"
                await self.group.net.path(self.zone, zone)
                send(out + f"READY {state} {self.position()}\r\n")
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.writers.discard(writer)
            self.zones.pop(writer, None)
            writer.close()

    def append(self, ident, item):
        number = self.log[-1][1] + 1 if self.log else 1
        entry = (self.term, number, ident, item)
        self.log.append(entry)
        late = self.group.promoted and self.group.promoted is not self
        record("server", self.id, "commits", "%d.%d" % entry[:2], ident,
               "AFTER the promote of " + self.group.promoted.id if late else "")
        if late:
            self.group.strays.append((now(), ident, self.id))
        return entry


class Group:
    """The servers of the service, and how their logs get from one to the next."""

    def __init__(self, store, net, sync=0, fencing=True, promote_s=0.3, slots=2, work=0.004):
        self.net = net
        self.store, self.sync, self.fencing, self.promote_s = store, sync, fencing, promote_s
        self.slots, self.work, self.handshake, self.max_conns = slots, work, 0.012, 40
        self.delay = 0.002
        self.servers, self.promoted, self.strays, self.promotions = [], None, [], []
        self.reads = {}

    async def start(self, zones):
        self.servers = [Server(self, number + 1, zone) for number, zone in enumerate(zones)]
        self.servers[0].leads = True
        for server in self.servers:
            await server.start()
        spawn(self.sweep())

    def leader(self):
        leading = [server for server in self.servers if server.leads]
        return max(leading, key=lambda server: server.term, default=None)

    async def sweep(self):
        """Entries are removed after three heartbeat intervals of silence."""
        while True:
            await asyncio.sleep(0.2)
            for server in self.servers:
                # A connection whose remote end is unreachable is dropped after 3 s.
                for writer, zone in list(server.zones.items()):
                    if self.net.is_cut_for(server.zone, zone, 3):
                        server.zones.pop(writer)
                        writer.transport.abort()
                listed = ("servers", "", server.id) in self.store.rows
                if listed and now() > getattr(server, "seen_at", now()) + 3 * HEARTBEAT_S:
                    self.store.apply([], [], [{"table_name": "servers", "key": server.id}])
                    record("store drops the entry of", server.id)

    def receive(self, primary, replica, count):
        usable = primary.running and not primary.dark and replica.running and not replica.dark
        usable = usable and not self.net.is_cut(primary.zone, replica.zone)
        if not usable or replica.deaf or replica.leads or replica.term > primary.term:
            return
        replica.term = primary.term
        if replica.log[:len(replica.log)] != primary.log[:len(replica.log)]:
            lost = [e for e in replica.log if e not in primary.log]
            record("server", replica.id, "rolls back", len(lost), "commits")
            replica.log = []
        if count > len(replica.log):
            replica.log = primary.log[:count]

    async def replicate(self, primary, entry):
        """Sends the log to the replicas. Waits for one of them where commits are synchronous."""
        count = len(primary.log)
        loop = asyncio.get_running_loop()
        for replica in self.servers:
            if replica is not primary:
                loop.call_later(self.delay, self.receive, primary, replica, count)
        while self.sync:
            await asyncio.sleep(0.001)
            if any(entry in replica.log for replica in self.servers if replica is not primary):
                break
            if not primary.running:
                await asyncio.sleep(3600)

    def set_deaf(self, server, deaf):
        server.deaf = deaf
        record("server", server.id, "receives nothing" if deaf else "receives again", "at", server.position(True))
        self.catch_up()

    def catch_up(self):
        primary = self.leader()
        for replica in self.servers:
            if primary and replica is not primary:
                self.receive(primary, replica, len(primary.log))

    def step_down(self, server):
        server.leads = False
        record("server", server.id, "steps down")
        spawn(server.report())
        self.catch_up()

    async def promote(self, server):
        """The named server leads the next term with what it had received."""
        if self.leader() is server or not server.running:
            return
        term = max(other.term for other in self.servers) + 1
        old = self.leader()
        server.leads, server.term, self.promoted = True, term, server
        self.promotions.append((now(), server.id, term, list(server.log)))
        record("server", server.id, "LEADS term", term, "with", server.position(True))
        spawn(server.report())
        for other in self.servers:
            if other is server or not other.running:
                continue
            if other is old and not self.fencing:
                spawn(self.notice(other, server))
                continue
            if self.net.is_cut(other.zone, server.zone):
                continue
            if other.leads:
                other.leads = False
                spawn(other.report())
        self.catch_up()

    async def notice(self, old, new):
        """Without fencing, a replaced primary goes on for a second after it can reach the new one."""
        await old.awake.wait()
        await self.net.path(old.zone, new.zone)
        await asyncio.sleep(1.0)
        if old.leads and old.running:
            self.step_down(old)


class Orders:
    """The platform's calls that one node may make at a time."""

    def __init__(self, group):
        self.group, self.mode, self.late_s = group, "up", 0
        self.calls, self.newest = [], 0

    async def start(self):
        self.http = await Http(self.handle).start()
        self.address = self.http.address
        return self

    async def handle(self, method, path, headers, body):
        call = json.loads(body)
        token, holder = int(headers["x-fencing-token"]), headers["x-duty-holder"]
        server = next((s for s in self.group.servers if s.id == call["id"]), None)
        record("order promote", call["id"], "from", holder, "token", token, "platform is", self.mode)
        self.calls.append((now(), holder, token, call["id"], self.mode))
        if self.mode == "down":
            return 503, {}
        if self.mode == "late":
            spawn(self.execute(server, token, self.late_s))
            return None
        if self.group.fencing and token < self.newest or not server or not server.running:
            return 409, {}
        self.newest = max(self.newest, token)
        spawn(self.execute(server, token, 0))
        return 200, {}

    async def execute(self, server, token, after):
        await asyncio.sleep(after)
        if after:
            record("order promote", server.id, "token", token, "is carried out late")
            if self.group.fencing and token < self.newest:
                return
            self.newest = max(self.newest, token)
        await asyncio.sleep(self.group.promote_s)
        await self.group.promote(server)


def free_ports(ip, count):
    """Returns the first of `count` consecutive free ports."""
    for first in range(20000 + os.getpid() % 5000 * 4, 60000, 8):
        sockets = []
        try:
            for port in range(first, first + count):
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    one = socket.socket(socket.AF_INET, kind)
                    sockets.append(one)
                    one.bind((ip, port))
            return first
        except OSError:
            continue
        finally:
            for one in sockets:
                one.close()
    raise RuntimeError("no free ports")


class Host:
    """One process of the system, started by the command of the deploy file."""

    def __init__(self, number, zone, folder, store, orders, announced=False):
        self.name, self.zone, self.folder = f"frontend-{zone}-{number}", zone, folder
        ip = f"127.0.0.{10 + number}"
        port = free_ports(ip, 9)
        self.relay_port = port + 8
        HOSTS_BY_IP[ip] = self
        self.callers = (ip, port)
        self.ready = (ip, port + 1)
        fields = {
            "node_name": self.name, "zone": zone, "ip": ip,
            "bind_addrs.frontend": f"{ip}:{port}", "bind_addrs.ready": f"{ip}:{port + 1}",
            "port_range": f"{port + 2},{port + 7}", "bounds.grace_s": "6", "bounds.drain_ms": "7000",
            "limits.max_fds": "4300", "limits.cpu_quota": "0.25",
            "platform.address": store.address, "cloud_api.address": orders.address}
        text = open(os.path.join(ROOT, "platform", "settings.ini")).read()
        text = re.sub(r"\{\{[#/][\w.]+\}\}\n?", "", text)
        text = re.sub(r"\{\{([\w.]+)\}\}", lambda found: fields[found[1]], text)
        if announced:
            text = text.replace("[platform]", f"announced = {ip}:{self.relay_port}\n\n[platform]")
        self.path = os.path.join(folder, self.name + ".ini")
        open(self.path, "w").write(text)
        self.process, self.starts = None, 0

    def start(self):
        self.starts += 1
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        log = open(os.path.join(self.folder, f"{self.name}.{self.starts}.log"), "wb")
        self.process = subprocess.Popen(
            [os.path.join("target", "release", "flamingopost")], cwd=ROOT, stdout=log,
            stderr=subprocess.STDOUT, env={**env, "FLAMINGOPOST_CONFIG": self.path})
        record("host", self.name, "starts")

    def signal(self, number):
        record("host", self.name, "gets", signal.Signals(number).name)
        self.process.send_signal(number)

    def kill(self):
        if self.process and self.process.poll() is None:
            record("host", self.name, "is killed")
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process:
            self.process.wait()

    async def is_ready(self):
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(*self.ready), 0.5)
            writer.write(b"GET /readyz HTTP/1.1\r\nhost: x\r\n\r\n")
            head = await asyncio.wait_for(reader.readline(), 0.5)
            writer.close()
            return b" 200 " in head
        except (OSError, asyncio.TimeoutError):
            return False


class Client:
    """A client that writes, one statement after the other, and reconnects after a close."""

    def __init__(self, number, hosts, database, acknowledged, pause=0.0, reads=None):
        self.number, self.hosts, self.database = number, hosts, database
        self.acknowledged, self.pause, self.count = acknowledged, pause, 0
        self.codes, self.reads = {}, reads

    async def run(self):
        while True:
            host = self.hosts[(self.number + self.count) % len(self.hosts)]
            writer = None
            try:
                reader, writer = await asyncio.wait_for(asyncio.open_connection(*host.callers), 1)
                writer.write(f"STARTUP {self.database} u{self.number}\r\n".encode())
                hello = await asyncio.wait_for(reader.readuntil(b"\r\n"), 2)
                while hello.startswith(b"READY"):
                    await self.write(reader, writer, host)
                    await asyncio.sleep(self.pause)
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                self.count += 1
            finally:
                if writer:
                    writer.close()
            await asyncio.sleep(0.05)

    async def write(self, reader, writer, host):
        self.count += 1
        ident = f"c{self.number:02d}x{self.count:06d}"
        text = f"STORE k{self.number} v{self.count}"
        reads = self.reads is not None and self.count % 2
        if reads:
            text = f"FETCH k{self.number}"
        sent = now()
        record("client sends", ident, text, "to", host.name)
        writer.write(f"QUERY {ident} {text}\r\n".encode())
        answers = []
        while not answers or not answers[-1].startswith("READY"):
            line = await asyncio.wait_for(reader.readuntil(b"\r\n"), 5)
            answers.append(line[:-2].decode())
        record("client gets", ident, "|".join(answers))
        code = answers[0].split(" ")[1 if answers[0].startswith("ERROR") else 0]
        self.codes[code] = self.codes.get(code, 0) + 1
        if any(answer.startswith("COMPLETE ") for answer in answers):
            if reads:
                self.reads[ident] = (sent, host)
            else:
                self.acknowledged[ident] = now()
        else:
            await asyncio.sleep(0.05)


class Bed:
    """A small deployment: store, orders, one service of three servers, hosts and clients."""

    async def start(self, hosts=6, clients=12, pause=0.0, host_zones="abcabc", store_zone=None, reads=False, client_zone="",
                    server_zones="abc", cuts=False, **group):
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.net = Net()
        self.store = await Store().start()
        self.store.zone = store_zone
        self.group = Group(self.store, self.net, **group)
        self.orders = await Orders(self.group).start()
        zones = ["zone-" + zone for zone in server_zones]
        self.store.put("op", "config", {
            "version": 3,
            "routes": [{"name": "book", "host": "book", "kind": "primary", "timeout_ms": 1000,
                        "goal_ms": 200, "priority": 1, "service": SERVICE}],
            "services": [{"name": SERVICE, "max_conns": self.group.max_conns,
                          "sync_replicas": self.group.sync}],
            "limits": {"tx_idle_ms": 3000}})
        await self.group.start(zones)
        self.hosts = []
        for n, zone in enumerate("zone-" + zone for zone in host_zones[:hosts]):
            store, orders = self.store, self.orders
            if cuts:
                path = functools.partial(self.net.path, zone, Net.PLATFORM)
                store = await Http(self.store.handle, path).start()
                orders = await Http(self.orders.handle, path).start()
            self.hosts.append(Host(n + 1, zone, self.folder, store, orders, cuts))
            if cuts:
                await Relay(self.net, self.hosts[-1]).start()
        for host in self.hosts:
            host.start()
        await self.until_ready(20)
        self.acknowledged, self.reads = {}, {} if reads else None
        near = [host for host in self.hosts if host.zone.endswith(client_zone)]
        self.clients = [Client(n, near, "book", self.acknowledged, pause, self.reads) for n in range(clients)]
        for client in self.clients:
            spawn(client.run())

    async def until_ready(self, limit):
        end = now() + limit
        while not all([await host.is_ready() for host in self.hosts]):
            if now() > end:
                raise RuntimeError("the hosts are not ready")
            await asyncio.sleep(0.1)
        record("all hosts are ready")

    async def until_serving(self, limit, count=50):
        """Waits until `count` more writes are acknowledged."""
        end, goal = now() + limit, len(self.acknowledged) + count
        while len(self.acknowledged) < goal:
            if now() > end:
                raise RuntimeError("the hosts do not serve")
            await asyncio.sleep(0.02)

    def stale_reads(self):
        """Reads that ran on a log without a commit that was acknowledged before their first byte. Commits
        that a promote rolled back don't count."""
        kept = {entry[2] for entry in self.group.leader().log}
        commits = sorted((acked, ident) for ident, acked in self.acknowledged.items() if ident in kept)
        stale, known = [], {}
        for ident, (sent, host) in sorted(self.reads.items(), key=lambda read: read[1][0]):
            server, log, length = self.group.reads[ident]
            had = known.setdefault(id(log), [0, set()])
            had[1].update(entry[2] for entry in log[had[0]:length])
            had[0] = max(had[0], length)
            before = bisect.bisect_left(commits, (sent, ""))
            missing = [it for it in commits[:before] if it[1] not in had[1]]
            if missing:
                stale.append((ident, sent, host, server, missing))
        return stale

    def kill_hosts(self):
        for host in self.hosts:
            if host.process.poll() is None:
                record("host", host.name, "is killed")
                host.process.kill()
        for host in self.hosts:
            host.process.wait()

    def start_hosts(self):
        for host in self.hosts:
            host.start()

    def end(self):
        for host in self.hosts:
            host.kill()


def main(play):
    """Runs `play(bed)`, which returns an exit code, and ends all processes."""
    global record
    folder = os.path.dirname(os.path.abspath(sys.argv[0]))
    record = Record(os.path.join(folder, "record.txt"))
    bed = Bed()

    async def run():
        code = 2
        try:
            code = await asyncio.wait_for(play(bed), 110)
        except Exception as error:  # The case could not run.
            print("could not run:", repr(error))
            record("could not run:", repr(error))
        finally:
            if hasattr(bed, "hosts"):
                bed.end()
        finish(code)

    def finish(code):
        print("exit", code)
        record("exit", code)
        record.close()
        if os.environ.get("KEEP"):
            print("logs in", bed.folder)
        else:
            shutil.rmtree(bed.folder, ignore_errors=True)
        sys.stdout.flush()
        # Skips the cancellation of the stand-ins' tasks.
        os._exit(code)

    asyncio.run(run())

"""A small deployment on loopback addresses: the project's own programs as separate processes, started
with the commands of the deploy file, and stand-ins for the platform's store, the runners and the clients.

Only Python's standard library is used. The stand-ins follow PROTOCOL.md: the store is linearizable and
loses nothing, runners register themselves and repeat the Request-Id, clients stay inside the limits of the
operator's configuration.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
CALLERS, READY, PEERS, METRICS, STORE_PORT, RUNNER_PORT = 8149, 8141, 7380, 9400, 8142, 8080
HOST = "ficu95.example"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


# What the disks of a case may take together, in bytes, with some room.
DISKS_BYTES = 4 << 30


class CannotRun(Exception):
    """The case can't be played here."""


def roomy_folder():
    """A folder in memory if it has room for the disks: a sync on a shared disk may stand for seconds, and the
    processes rightly refuse turns then. None for the usual temporary folder."""
    if "TMPDIR" in os.environ or not os.path.isdir("/dev/shm"):
        return None
    return "/dev/shm" if shutil.disk_usage("/dev/shm").free > 2 * DISKS_BYTES else None


# ---------------------------------------------------------------- HTTP


async def read_head(reader):
    """Reads a head; returns its first line and its fields, or None at the end of the connection."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_body(reader, fields):
    """Reads a request's body."""
    if "content-length" in fields:
        return await reader.readexactly(int(fields["content-length"]))
    if fields.get("transfer-encoding", "").lower() != "chunked":
        return b""
    parts = []
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        piece = await reader.readexactly(size + 2)
        if size == 0:
            return b"".join(parts)
        parts.append(piece[:-2])


class Answer:
    """What a client received."""

    def __init__(self):
        self.status = 0
        self.fields = {}
        self.body = b""
        self.whole = False
        self.fault = ""

    def __repr__(self):
        end = "whole" if self.whole else f"cut ({self.fault})"
        return f"{self.status} {len(self.body)} bytes, {end}"


class Exchange:
    """A client's request on a connection of its own."""

    def __init__(self, address, method, path, fields, body):
        self.address = address
        lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}"]
        lines += [f"{name}: {value}" for name, value in fields.items()]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        self.bytes = "\r\n".join(lines).encode() + b"\r\n\r\n" + body
        self.answer = Answer()
        self.reader = self.writer = None

    async def open(self):
        """Sends the request and reads the head of the answer."""
        self.reader, self.writer = await asyncio.open_connection(*self.address, limit=1 << 20)
        self.writer.write(self.bytes)
        try:
            await self.writer.drain()
        except ConnectionError:
            pass
        head = await read_head(self.reader)
        if head is None:
            self.answer.fault = "no answer"
            return self.answer
        self.answer.status = int(head[0].split(" ")[1])
        self.answer.fields = head[1]
        return self.answer

    async def data(self):
        """Reads the next bytes of the body; empty at its end."""
        fields = self.answer.fields
        try:
            if fields.get("transfer-encoding", "").lower() == "chunked":
                size = int((await self.reader.readuntil(b"\r\n")).split(b";")[0], 16)
                piece = (await self.reader.readexactly(size + 2))[:-2]
            else:
                left = int(fields.get("content-length", 0)) - len(self.answer.body)
                piece = await self.reader.readexactly(left) if left > 0 else b""
        except (asyncio.IncompleteReadError, ConnectionError, ValueError) as fault:
            self.answer.fault = type(fault).__name__
            return b""
        self.answer.body += piece
        self.answer.whole = not piece
        return piece

    async def rest(self):
        """Reads the answer to its end."""
        while await self.data():
            pass
        return self.answer

    def close(self):
        """Closes the connection at once, with a reset if bytes are unread."""
        if self.writer:
            self.writer.transport.abort()


async def ask(address, method, path, fields=None, body=b"", limit=20.0):
    """Sends a request and reads the whole answer."""
    exchange = Exchange(address, method, path, fields or {}, body)

    async def play():
        await exchange.open()
        if exchange.answer.status:
            await exchange.rest()

    try:
        await asyncio.wait_for(play(), limit)
    except (ConnectionError, OSError, asyncio.TimeoutError) as fault:
        exchange.answer.fault = type(fault).__name__
    finally:
        exchange.close()
    return exchange.answer


# ---------------------------------------------------------------- the platform's store


class Store:
    """The platform's metadata store."""

    def __init__(self, record):
        self.record = record
        self.rev = 1
        self.items = {}
        self.log = []
        self.leases = {}
        self.changed = asyncio.Condition()
        self.refused = set()
        self.calls = 0

    async def start(self, ip):
        self.address = (ip, STORE_PORT)
        self.server = await asyncio.start_server(self.serve, ip, STORE_PORT, limit=1 << 24)
        self.sweeper = asyncio.create_task(self.sweep())

    async def sweep(self):
        while True:
            await asyncio.sleep(0.2)
            now = time.monotonic()
            for lease, (ends, _) in list(self.leases.items()):
                if ends < now:
                    del self.leases[lease]
                    keys = [key for key, item in self.items.items() if item["lease"] == lease]
                    if keys:
                        await self.change([], keys)

    async def change(self, puts, removes):
        self.rev += 1
        for put in puts:
            known = self.items.get(put["key"])
            item = {
                "key": put["key"],
                "value": put["value"],
                "rev": self.rev,
                "createRev": known["createRev"] if known else self.rev,
                "lease": put.get("lease", 0),
            }
            self.items[put["key"]] = item
            self.log.append((self.rev, dict(item)))
        for key in removes:
            if self.items.pop(key, None):
                self.log.append((self.rev, {"key": key, "rev": self.rev, "removed": True}))
        async with self.changed:
            self.changed.notify_all()

    async def put(self, key, value):
        """What operators and runners write."""
        text = base64.b64encode(json.dumps(value).encode()).decode()
        await self.change([{"key": key, "value": text}], [])

    async def remove(self, key):
        await self.change([], [key])

    async def serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                method, target, _ = head[0].split(" ")
                body = await read_body(reader, head[1])
                self.calls += 1
                url = urllib.parse.urlsplit(target)
                query = dict(urllib.parse.parse_qsl(url.query))
                status, answer = await self.call(method, url.path, query, body)
                text = json.dumps(answer).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(text)}\r\n\r\n".encode()
                    + text
                )
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def call(self, method, path, query, body):
        if path == "/-/kv-key":
            item = self.items.get(query["key"])
            return (200, {**item, "at": self.rev}) if item else (404, {"at": self.rev})
        if path == "/-/kv-range":
            prefix, after = query.get("prefix", ""), query.get("after", "")
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
            items = [self.items[key] for key in keys[:500]]
            return 200, {"items": items, "hasMore": len(keys) > 500, "at": self.rev}
        if path == "/-/kv-watch":
            return await self.watch(query)
        if path == "/-/kv-txn":
            return await self.txn(json.loads(body))
        if path == "/-/kv-lease":
            ttl = json.loads(body)["ttlMs"]
            lease = random.randrange(1, 1 << 40)
            self.leases[lease] = (time.monotonic() + ttl / 1000, ttl)
            return 200, {"lease": lease, "ttlMs": ttl}
        if path.startswith("/-/kv-keep/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, {}
            ttl = self.leases[lease][1]
            self.leases[lease] = (time.monotonic() + ttl / 1000, ttl)
            return 200, {"ttlMs": ttl}
        if path.startswith("/-/kv-lease-end/"):
            self.leases.pop(int(path.rsplit("/", 1)[1]), None)
            return 200, {}
        return 404, {}

    async def watch(self, query):
        prefix, after = query.get("prefix", ""), int(query["after"])
        until = time.monotonic() + int(query.get("waitMs", 0)) / 1000
        while True:
            found = [e for rev, e in self.log if rev > after and e["key"].startswith(prefix)]
            left = until - time.monotonic()
            if found or left <= 0:
                return 200, {"events": found, "at": self.rev}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass

    async def txn(self, txn):
        rows = txn.get("precondition", [])
        current = {row["key"]: self.items.get(row["key"]) for row in rows}
        for row in rows:
            item = current[row["key"]]
            if (item["rev"] if item else 0) != row["rev"]:
                items = [i if i else {"key": k, "rev": 0} for k, i in current.items()]
                return 412, {"items": items, "at": self.rev}
        puts, removes = txn.get("puts", []), txn.get("remove", [])
        if any(p.get("lease", 0) and p["lease"] not in self.leases for p in puts):
            return 404, {}
        keys = [p["key"] for p in puts] + list(removes)
        if any(key.startswith(("op/", "servers/")) for key in keys):
            return 403, {}
        await self.change(puts, removes)
        return 200, {"rev": self.rev}


# ---------------------------------------------------------------- runners


class Run:
    """A request that a runner has begun to work on."""

    def __init__(self, runner, method, path, fields, body):
        self.runner, self.method, self.path, self.fields, self.body = runner, method, path, fields, body
        self.id = fields.get("request-id", "")
        self.at = time.monotonic()


class Runner:
    """A sound runner. `handler(run, writer)` writes the answer."""

    def __init__(self, rig, ident, service, zone, ip, handler, version="v1", slots=16):
        self.rig, self.id, self.service, self.zone, self.ip = rig, ident, service, zone, ip
        self.handler, self.version, self.slots = handler, version, slots
        self.born = int(time.time() * 1000)
        self.runs = []
        self.seq = 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, RUNNER_PORT, limit=1 << 24)
        self.beats = asyncio.create_task(self.beat())

    async def beat(self):
        while True:
            self.seq += 1
            await self.rig.store.put(
                f"servers/{self.id}",
                {
                    "service": self.service,
                    "addr": f"{self.ip}:{RUNNER_PORT}",
                    "zone": self.zone,
                    "version": self.version,
                    "slots": self.slots,
                    "state": "ready",
                    "coldMs": 0,
                    "seq": self.seq,
                    "born": self.born,
                },
            )
            await asyncio.sleep(1.2)

    async def serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                method, target, _ = head[0].split(" ")
                fields = head[1]
                body = await read_body(reader, fields)
                if target == "/-/report":
                    report = {"stage": "dual", "busy": False, "seq": self.seq, "waiting": 0, "running": 0, "born": self.born}
                    plain(writer, 200, json.dumps(report).encode(), {})
                elif fields.get("expect-instance", self.id) != self.id:
                    plain(writer, 421, b"", {"Instance-Id": self.id, "Not-Executed": "1"})
                else:
                    run = Run(self, method, target, fields, body)
                    self.runs.append(run)
                    self.rig.runs.append(run)
                    self.rig.note(f"run {run.id} at {self.id}: {method} {target}, {len(body)} bytes of body")
                    await self.handler(run, writer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


def signed(run):
    return {"Request-Id": run.id, "Server-Stamp": f"{run.runner.id}.{run.id}"}


def plain(writer, status, body, fields):
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)


def begin_stream(run, writer):
    fields = {**signed(run), "Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}
    lines = ["HTTP/1.1 200 OK"] + [f"{name}: {value}" for name, value in fields.items()]
    writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")


def event(writer, number, data):
    text = f"id: {number}\ndata: {data}\n\n".encode()
    writer.write(f"{len(text):x}\r\n".encode() + text + b"\r\n")


def end_stream(writer):
    writer.write(b"0\r\n\r\n")


def events_of(body):
    """Splits the bytes of a stream into (id, data) of its whole events."""
    found = []
    for block in body.decode().split("\n\n")[:-1]:
        lines = dict(line.split(": ", 1) for line in block.split("\n"))
        found.append((int(lines["id"]), lines["data"]))
    return found


# ---------------------------------------------------------------- the system's processes


class Process:
    """A process of the system on a machine of its own."""

    def __init__(self, rig, role, name, zone, ip, memory_mb, disk_mb):
        self.rig, self.role, self.name, self.zone, self.ip = rig, role, name, zone, ip
        self.memory_mb, self.disk_mb = memory_mb, disk_mb
        self.process = None
        self.peak_kb = 0
        self.exits = []
        self.bootstrap = True
        self.advertised = None
        self.data = os.path.join(rig.folder, name, "data")

    def settings(self):
        text = [
            f'node = "{self.name}"',
            f'role = "{self.role}"',
            f'machineClass = "{self.role}"',
            f'serves = ["{self.role}"]',
            f'ip = "{self.ip}"',
            f'zone = "{self.zone}"',
            'region = "r"',
            f"portRange = [{PEERS},{PEERS + 15}]",
            "seeds = []",
            f"bootstrap = {str(self.bootstrap).lower()}",
            f"countLoss = {str(self.role == 'store').lower()}",
            'discovery = "platform"',
            'entry = "vip"',
            "heartbeatMs = 1200",
            'contracts = ["base","drain","config","cost","recover","agent","stream","engine","platform"]',
        ]
        if self.role == "store":
            text.append(f'dataDir = "{self.data}"')
        text.append("[listen]")
        if self.role == "front":
            text += [f'front = "{self.ip}:{CALLERS}"', f'ready = "{self.ip}:{READY}"']
        if self.advertised:
            # The address in the list of members, where a proxy stands before the machine.
            text.append(f'advertised = "{self.advertised}"')
        text += [
            "[limits]",
            f"cpuShare = {0.25 if self.role == 'front' else 0.5}",
            "cores = 1",
            f"memoryMb = {self.memory_mb}",
            f"maxFds = {4100 if self.role == 'front' else 8200}",
            "linkMbps = 1000.0",
            f"diskMb = {self.disk_mb if self.role == 'store' else 0}",
            "[tolerate]",
            "nodes = 1",
            "zones = 1",
            "regions = 0",
            "[bounds]",
            *(f"{name} = {value}" for name, value in self.rig.bounds.items()),
            "[platform]",
            f'addr = "{self.rig.store_for(self)}"',
            'form = "kv"',
            "writesPerS = 400",
            "readsPerS = 2000",
            "historyS = 20",
            "valueBytes = 1048576",
            "ttlMinMs = 1000",
        ]
        return "\n".join(text) + "\n"

    async def start(self):
        folder = os.path.join(self.rig.folder, self.name)
        os.makedirs(self.data if self.role == "store" else folder, exist_ok=True)
        path = os.path.join(folder, "node.toml")
        with open(path, "w") as out:
            out.write(self.settings())
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        env["CHESTNUTYOKE_CONFIG"] = path
        self.log = open(os.path.join(folder, "log.txt"), "ab")
        self.process = await asyncio.create_subprocess_exec(
            *self.rig.commands[self.role].split(" "),
            cwd=ROOT, env=env, stdout=self.log, stderr=self.log, stdin=asyncio.subprocess.DEVNULL,
        )
        self.rig.note(f"{self.name} started")
        self.bootstrap = False
        return self

    def signal(self, number):
        if self.process and self.process.returncode is None:
            self.process.send_signal(number)
            self.rig.note(f"{self.name} gets {signal.Signals(number).name}")

    async def kill(self):
        self.signal(signal.SIGKILL)
        await self.process.wait()

    def memory_kb(self):
        """The memory that the process has now."""
        try:
            with open(f"/proc/{self.process.pid}/status") as status:
                for line in status:
                    if line.startswith("VmRSS:"):
                        return int(line.split()[1])
        except (OSError, AttributeError):
            pass
        return 0

    async def metric(self, name):
        answer = await ask((self.ip, METRICS), "GET", "/metrics", limit=2.0)
        for line in answer.body.decode(errors="replace").splitlines():
            if line.startswith(f"chestnutyoke_{name} "):
                return float(line.split(" ")[1])
        return None

    async def is_ready(self):
        answer = await ask((self.ip, READY), "GET", "/-/readyz", limit=1.0)
        return answer.status == 200


class Link:
    """One direction of a machine's link: what passes takes the time that its rate gives."""

    def __init__(self, mbps):
        self.bytes_per_s = mbps * 1e6 / 8
        self.free_at = 0.0

    async def carry(self, count):
        now = time.monotonic()
        self.free_at = max(self.free_at, now) + count / self.bytes_per_s
        await asyncio.sleep(max(0.0, self.free_at - now))


class Proxy:
    """A proxy before an address. While it is cut, nothing passes, and nobody is told. With a rate, all its
    connections share a link of that rate each way."""

    def __init__(self, listen, target, mbps=None):
        self.listen, self.target = listen, target
        self.is_cut = lambda writer: False
        self.inward = Link(mbps) if mbps else None
        self.outward = Link(mbps) if mbps else None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, *self.listen, limit=1 << 20)

    def peer_is(self, writer, process):
        """Returns whether a connection is one of a process."""
        port = writer.get_extra_info("peername")[1]
        own = self.listen[1]
        with open("/proc/net/tcp") as table:
            for line in list(table)[1:]:
                fields = line.split()
                if int(fields[1][9:], 16) == port and int(fields[2][9:], 16) == own:
                    inode = fields[9]
                    break
            else:
                return False
        folder = f"/proc/{process.process.pid}/fd"
        for name in os.listdir(folder):
            try:
                if os.readlink(f"{folder}/{name}") == f"socket:[{inode}]":
                    return True
            except OSError:
                pass
        return False

    async def serve(self, reader, writer):
        try:
            onward = await asyncio.open_connection(*self.target, limit=1 << 20)
        except OSError:
            writer.transport.abort()
            return

        async def pump(source, sink, link):
            try:
                while data := await source.read(1 << 16):
                    while self.is_cut(writer):
                        await asyncio.sleep(0.02)
                    if link:
                        await link.carry(len(data))
                    sink.write(data)
                    await sink.drain()
            except (ConnectionError, OSError):
                pass
            finally:
                while self.is_cut(writer):
                    await asyncio.sleep(0.02)
                sink.close()

        await asyncio.gather(pump(reader, onward[1], self.inward), pump(onward[0], writer, self.outward))


class Rig:
    """The deployment, its clients and the record."""

    def __init__(self, case):
        self.case = case
        self.runs = []
        self.started = time.monotonic()
        self.folder = tempfile.mkdtemp(prefix="review-", dir=roomy_folder())
        self.out = open(os.path.join(os.path.dirname(os.path.abspath(case)), "record.txt"), "w")
        self.processes = []
        self.bounds = {
            "seedLagS": 3, "reuseS": 2, "contactMs": 3000, "ackMs": 4000, "syncS": 4.9, "drainMs": 2000,
            "graceS": 8, "lossSlackMs": 200, "applyMs": 2000, "backMs": 250, "skewMaxMs": 5000,
            "recoverS": 12, "passMs": 120, "againS": 0, "finishS": 10, "settleMs": 1000,
        }
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as deploy:
            roles = tomllib.load(deploy)["roles"]
        self.commands = {role["serves"][0]: role["run"] for role in roles.values()}
        for command in self.commands.values():
            if not os.path.exists(os.path.join(ROOT, command.split(" ")[0])):
                raise CannotRun(f"{command.split(' ')[0]} isn't built")
        self.net = self.free_net()

    def free_net(self):
        """Finds a loopback network in which nobody listens."""
        for _ in range(50):
            net = f"127.{random.randrange(20, 250)}.{random.randrange(1, 250)}"
            try:
                for last, port in ((250, STORE_PORT), (11, PEERS), (21, CALLERS), (101, RUNNER_PORT)):
                    with socket.socket() as probe:
                        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                        probe.bind((f"{net}.{last}", port))
                return net
            except OSError:
                continue
        raise CannotRun("no free loopback network")

    def ip(self, last):
        return f"{self.net}.{last}"

    def store_for(self, process):
        """The address of the platform's store for a process."""
        return f"{self.store.address[0]}:{self.store.address[1]}"

    def note(self, text):
        self.out.write(f"{time.monotonic() - self.started:9.3f} s  {text}\n")
        self.out.flush()

    async def begin(self, stores=3, fronts=2, memory_mb=110, store_memory_mb=140, disk_mb=530, prepare=None):
        self.note(f"case {os.path.basename(os.path.dirname(os.path.abspath(self.case)))}, TROUBLE={int(TROUBLE)}")
        self.store = Store(self.note)
        await self.store.start(self.ip(250))
        zones = ["a", "b", "c"]
        self.stores = [
            Process(self, "store", f"store-{zones[n % 3]}-{n // 3 + 1}", zones[n % 3], self.ip(11 + n), store_memory_mb, disk_mb)
            for n in range(stores)
        ]
        self.fronts = [
            Process(self, "front", f"front-{zones[n % 3]}-{n // 3 + 1}", zones[n % 3], self.ip(21 + n), memory_mb, 0)
            for n in range(fronts)
        ]
        self.processes = self.stores + self.fronts
        if prepare:
            await prepare()
        for process in self.processes:
            await process.start()

    async def runner(self, number, service, handler, zone="a", **more):
        runner = Runner(self, f"i-{number:08x}", service, zone, self.ip(100 + number), handler, **more)
        await runner.start()
        return runner

    async def configure(self, version, routes, services, limits=None):
        limits = limits or {"headerBytes": 16384, "bodyBytes": 4194304, "headerMs": 3000, "idleMs": 15000}
        await self.store.put("op/config", {"version": version, "routes": routes, "services": services, "limits": limits})
        self.note(f"configuration {version} is acknowledged")

    async def until(self, what, condition, limit=20.0):
        """Waits until a condition holds; the case can't run if it doesn't."""
        ends = time.monotonic() + limit
        while time.monotonic() < ends:
            if await condition():
                return
            await asyncio.sleep(0.05)
        raise CannotRun(f"timed out: {what}")

    async def ready(self, runners):
        for front in self.fronts:
            async def knows(front=front):
                return await front.is_ready() and await front.metric("runners") == runners
            await self.until(f"{front.name} is ready", knows)
        async def caught_up():
            versions = [await s.metric("members_version") for s in self.stores]
            readies = [await s.metric("members_ready") for s in self.stores]
            return versions == readies and len(set(versions)) == 1 and (versions[0] or 0) >= len(self.stores)
        await self.until("the stores have joined", caught_up)
        self.note("all processes are ready")

    async def end(self):
        for process in self.processes:
            if process.process and process.process.returncode is None:
                process.process.send_signal(signal.SIGCONT)
                process.process.kill()
                await process.process.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            for process in self.processes:
                log = os.path.join(self.folder, process.name, "log.txt")
                if os.path.exists(log):
                    shutil.copy(log, os.path.join(keep, f"{process.name}.log"))
        shutil.rmtree(self.folder, ignore_errors=True)


def stream_route(name, prefix, service, **more):
    route = {
        "name": name, "host": HOST, "prefix": prefix, "kind": "stream", "timeoutMs": 4000, "sloMs": 200,
        "priority": 0, "service": service, "attempts": 1, "retain": False, "retainS": 60.0, "sticky": True,
        "resumable": False, "gapAimMs": 250,
    }
    return {**route, **more}


def engine_service(name, chunk_tokens=21):
    return {
        "name": name, "healthPath": "/healthz", "maxConns": 160, "proto": "h1", "tls": False,
        "engine": {"slots": 16, "kvTokens": 484712, "kvBytes": 163840, "linkMbps": 1200000.0, "moves": True,
                   "backups": True, "chunkTokens": chunk_tokens, "most": 12, "pinMs": 4000.0, "holdMs": 2000.0,
                   "handle_s": 5.0, "models": [{"name": "m"}]},
    }


def play(case, story):
    """Plays a case: `story(rig)` returns what broke the rule, or None if it held."""

    async def whole():
        rig = Rig(case)
        code = 2
        told = asyncio.create_task(story(rig))
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, told.cancel)
        try:
            broken = await asyncio.wait_for(told, 112.0)
            code = 1 if broken else 0
            rig.note(f"the rule was broken: {broken}" if broken else "the rule held")
        except asyncio.TimeoutError:
            rig.note("the case couldn't run: it took too long")
        except asyncio.CancelledError:
            rig.note("the case couldn't run: it was told to stop")
        except Exception as fault:  # a fault of the case's own is no broken rule
            rig.note(f"the case couldn't run: {type(fault).__name__}: {fault}")
        finally:
            await rig.end()
        return code

    try:
        code = asyncio.run(whole())
    except CannotRun as fault:
        print(fault, file=sys.stderr)
        code = 2
    sys.exit(code)

"""Stand-ins for the platform's store, runners and clients, and the project's processes on loopback.

Each VM has a loopback address of its own. Only the standard library is used.
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
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

REPOSITORY = Path(__file__).resolve().parents[2]
PROGRAM = REPOSITORY / "target/release/chestnutyoke"
HOST = "ficu95.example"
DRAIN_MS = 2_000
HEARTBEAT_MS = 1_200
CENTRES = ["sullivans-cove", "rosny-pt", "blackmans-bay"]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
STATUS = {200: "OK", 404: "Not Found", 410: "Gone", 412: "Precondition Failed", 421: "Misdirected",
          429: "Too Many Requests", 503: "Service Unavailable"}


class Record:
    """Writes what was sent, answered and run to a file."""

    def __init__(self, path):
        self.file = open(path, "w", buffering=1)
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def __call__(self, text):
        self.file.write(f"{self.now():8.3f} s  {text}\n")


async def read_head(reader):
    """Reads a request's or answer's head; `None` at the end of the connection."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_body(reader, headers):
    if "chunked" in headers.get("transfer-encoding", ""):
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += (await reader.readexactly(size + 2))[:size]
            if size == 0:
                return body
    return await reader.readexactly(int(headers.get("content-length", 0)))


def head(status, headers):
    lines = [f"HTTP/1.1 {status} {STATUS.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


class Server:
    """Serves HTTP/1.1 on one address; `handle` writes each answer."""

    async def listen(self, ip, port):
        self.address = f"{ip}:{port}"
        self.writers = set()
        self.listener = await asyncio.start_server(self.serve, ip, port, limit=1 << 24)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            while (got := await read_head(reader)) is not None:
                first, headers = got
                method, target, _ = first.split(" ", 2)
                body = await read_body(reader, headers)
                if not await self.handle(method, target, headers, body, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def close(self):
        """Stops listening and breaks all connections off."""
        self.listener.close()
        for writer in list(self.writers):
            writer.transport.abort()


class Platform(Server):
    """The platform's store: linearizable, one revision counter, pages that are no snapshot."""

    def __init__(self, record, page=500, answer_s=0.004):
        self.record = record
        self.page = page
        self.answer_s = answer_s
        self.items = {}
        self.events = []
        self.revision = 1
        self.leases = {}
        self.lease = 0
        self.changed = asyncio.Event()
        self.on_range = None
        self.on_commit = None

    def put(self, key, value, lease=0):
        self.revision += 1
        created = self.items[key]["createRev"] if key in self.items else self.revision
        item = {"key": key, "value": base64.b64encode(value).decode(), "rev": self.revision,
                "createRev": created, "lease": lease}
        self.items[key] = item
        self.note(item)
        return self.revision

    def remove(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.note({"key": key, "rev": self.revision, "removed": True})
        return self.revision

    def note(self, event):
        self.events.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    async def answer(self, writer, status, value):
        await asyncio.sleep(self.answer_s)
        body = json.dumps(value).encode()
        writer.write(head(status, {"Content-Type": "application/json", "Content-Length": len(body)}) + body)
        await writer.drain()
        return True

    async def handle(self, method, target, headers, body, writer):
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        if parts.path == "/-/kv-key":
            item = self.items.get(query["key"])
            if item is None:
                return await self.answer(writer, 404, {"at": self.revision})
            return await self.answer(writer, 200, {**item, "at": self.revision})
        if parts.path == "/-/kv-range":
            return await self.range(query, writer)
        if parts.path == "/-/kv-watch":
            return await self.watch(query, writer)
        if parts.path == "/-/kv-txn":
            return await self.commit(json.loads(body), writer)
        if parts.path == "/-/kv-lease":
            self.lease += 1
            ttl = json.loads(body)["ttlMs"]
            self.leases[self.lease] = ttl
            asyncio.get_running_loop().create_task(self.expire(self.lease, time.monotonic()))
            return await self.answer(writer, 200, {"lease": self.lease, "ttlMs": ttl})
        if parts.path.startswith("/-/kv-keep/"):
            lease = int(parts.path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return await self.answer(writer, 404, {})
            self.renewed[lease] = time.monotonic()
            return await self.answer(writer, 200, {"ttlMs": self.leases[lease]})
        if parts.path.startswith("/-/kv-lease-end/"):
            self.end_lease(int(parts.path.rsplit("/", 1)[1]))
            return await self.answer(writer, 200, {})
        return await self.answer(writer, 404, {})

    renewed = {}

    async def expire(self, lease, since):
        while lease in self.leases:
            left = self.renewed.get(lease, since) + self.leases[lease] / 1000 - time.monotonic()
            if left <= 0:
                return self.end_lease(lease)
            await asyncio.sleep(left)

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [key for key, item in self.items.items() if lease and item["lease"] == lease]:
            self.remove(key)

    async def range(self, query, writer):
        prefix, after = query["prefix"], query.get("after", "")
        keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
        page = [self.items[key] for key in keys[: self.page]]
        answer = {"items": page, "hasMore": len(keys) > self.page, "at": self.revision}
        if self.on_range is not None:
            self.on_range(prefix, after, answer)
        return await self.answer(writer, 200, answer)

    async def watch(self, query, writer):
        prefix, after = query["prefix"], int(query["after"])
        end = time.monotonic() + int(query["waitMs"]) / 1000
        while True:
            changed = self.changed
            events = [event for event in self.events if event["rev"] > after and event["key"].startswith(prefix)]
            left = end - time.monotonic()
            if events or left <= 0:
                return await self.answer(writer, 200, {"events": events, "at": self.revision})
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    async def commit(self, txn, writer):
        rows = txn["precondition"]
        if any(self.items.get(row["key"], {"rev": 0})["rev"] != row["rev"] for row in rows):
            present = [self.items.get(row["key"], {"key": row["key"], "value": "", "rev": 0}) for row in rows]
            return await self.answer(writer, 412, {"items": present})
        if any(put["lease"] and put["lease"] not in self.leases for put in txn["puts"]):
            return await self.answer(writer, 404, {})
        for put in txn["puts"]:
            self.put(put["key"], base64.b64decode(put["value"]), put["lease"])
        for key in txn["remove"]:
            self.remove(key)
        if self.on_commit is not None:
            self.on_commit([put["key"] for put in txn["puts"]])
        return await self.answer(writer, 200, {"rev": self.revision})


class Runner(Server):
    """A sound runner. It says in `runs` what it ran, and registers itself in the store.

    Its heartbeats change nothing but `seq`, so they don't change its entry, and aren't played.
    """

    def __init__(self, record, platform, id, service, centre, work_s=0.01, slots=16):
        self.record, self.platform, self.id = record, platform, id
        self.service, self.centre, self.work_s, self.slots = service, centre, work_s, slots
        self.runs = []
        self.running = 0
        self.seq = 0
        self.born = int(time.time() * 1000)
        self.gone = False
        self.state = "ready"

    def entry(self):
        self.seq += 1
        return json.dumps({
            "service": self.service, "addr": self.address, "zone": self.centre, "version": "v1",
            "slots": self.slots, "state": self.state, "coldMs": 0, "seq": self.seq, "born": self.born}).encode()

    async def begin(self, ip, port):
        await self.listen(ip, port)
        self.platform.put(f"servers/{self.id}", self.entry())

    def leave(self):
        """Its entry is removed, and it goes on serving. Returns the acknowledged revision."""
        self.gone = True
        return self.platform.remove(f"servers/{self.id}")

    def drain(self):
        """Reports that it is about to leave. Returns the acknowledged revision."""
        self.state = "draining"
        return self.platform.put(f"servers/{self.id}", self.entry())

    async def handle(self, method, target, headers, body, writer):
        base = {"Request-Id": headers.get("request-id", ""), "Server-Load": f"{self.running},0,{self.slots}"}
        expected = headers.get("expect-instance", self.id)
        if expected != self.id:
            writer.write(head(421, {"Instance-Id": self.id, "Content-Length": 0}))
            return True
        run = {"id": headers.get("request-id"), "target": target, "at": self.record.now(), "body": body,
               "ended": False, "runner": self.id}
        self.runs.append(run)
        self.running += 1
        try:
            base["Server-Stamp"] = f"stamp.{self.id}"
            if "token-usage" in headers:
                await self.stream(headers, base, writer)
            else:
                await asyncio.sleep(self.work_s)
                answer = f"done {headers.get('request-id')}".encode()
                writer.write(head(200, {**base, "Content-Length": len(answer)}) + answer)
            await writer.drain()
            run["ended"] = True
        finally:
            self.running -= 1
        return True

    async def stream(self, headers, base, writer, events=4):
        writer.write(head(200, {**base, "Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}))
        for number in range(int(headers.get("last-event-id", 0)) + 1, events + 1):
            await asyncio.sleep(self.work_s)
            event = f"id: {number}\ndata: {headers['request-id']}-{number}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
        writer.write(b"0\r\n\r\n")


class Answer:
    def __init__(self, status, headers, body, whole):
        self.status, self.headers, self.body, self.whole = status, headers, body, whole

    def __str__(self):
        return f"{self.status}{'' if self.whole else ' (not whole)'} {self.body[:160]!r}"


async def ask(address, path, id, headers=None, body=b"", method="POST", timeout=10.0):
    """Sends one request on a new connection. A status of 0 means that the connection ended without one."""
    ip, port = address.rsplit(":", 1)
    fields = {"Host": HOST, "Request-Id": id, "Deadline-Ms": "4000", **(headers or {}), "Content-Length": len(body)}
    lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())

    async def exchange():
        reader, writer = await asyncio.open_connection(ip, int(port), limit=1 << 24)
        try:
            writer.write(f"{method} {path} HTTP/1.1\r\n{lines}\r\n".encode() + body)
            got = await read_head(reader)
            if got is None:
                return Answer(0, {}, b"", False)
            status = int(got[0].split(" ")[1])
            try:
                return Answer(status, got[1], await read_body(reader, got[1]), True)
            except (asyncio.IncompleteReadError, ConnectionError, ValueError):
                return Answer(status, got[1], b"", False)
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (ConnectionError, OSError, asyncio.TimeoutError):
        return Answer(0, {}, b"", False)


class Vm:
    """A process of the project, with the command of the deploy file."""

    def __init__(self, record, folder, name, role, centre, ip, platform):
        self.record, self.name, self.role, self.ip = record, name, role, ip
        self.front, self.ready = f"{ip}:8149", f"{ip}:8141"
        self.folder = Path(folder)
        self.data = self.folder / f"data-{name}"
        self.settings = self.folder / f"{name}.toml"
        listen = f'front = "{self.front}"\nready = "{self.ready}"\n' if role == "front" else ""
        disk = f'dataDir = "{self.data}"\n' if role == "store" else ""
        self.text = f"""node = "{name}"
role = "{role}"
machineClass = "{role}"
serves = ["{role}"]
ip = "{ip}"
zone = "{centre}"
region = "south-tas"
portRange = [7380,7395]
seeds = []
bootstrap = BOOTSTRAP
countLoss = {"true" if role == "store" else "false"}
{disk}discovery = "platform"
entry = "vip"
heartbeatMs = {HEARTBEAT_MS}
contracts = ["base","drain","config","cost","recover","agent","stream","engine","platform"]
[zones]
{chr(10).join(f'{centre} = "south-tas"' for centre in CENTRES)}
[listen]
{listen}[limits]
cpuShare = {0.25 if role == "front" else 0.5}
cores = 1
memoryMb = {110 if role == "front" else 140}
maxFds = {4100 if role == "front" else 8200}
linkMbps = {1000.0 if role == "front" else 600.0}
diskMb = {0 if role == "front" else 530}
[tolerate]
nodes = 1
zones = 1
regions = 0
[bounds]
seedLagS = 3
reuseS = 2
contactMs = 3000
ackMs = 4000
syncS = 4.9
drainMs = {DRAIN_MS}
graceS = 8
lossSlackMs = 200
applyMs = 2000
backMs = 250
skewMaxMs = 5000
recoverS = 12
passMs = 120
againS = 0
finishS = 10
settleMs = 1000
[platform]
addr = "{platform.address}"
form = "kv"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
"""
        self.process = None

    def start(self, bootstrap=False):
        self.settings.write_text(self.text.replace("BOOTSTRAP", "true" if bootstrap else "false"))
        if self.role == "store":
            self.data.mkdir(exist_ok=True)
        log = open(self.folder / f"{self.name}.log", "ab")
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["CHESTNUTYOKE_CONFIG"] = str(self.settings)
        command = [str(PROGRAM), self.role, "--metrics-port", "9400"]
        self.process = subprocess.Popen(command, cwd=REPOSITORY, env=environment, stdout=log, stderr=log)
        self.record(f"{self.name} started, pid {self.process.pid}")

    def signal(self, number):
        self.record(f"{self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def ended(self, timeout=15.0):
        end = time.monotonic() + timeout
        while self.process.poll() is None and time.monotonic() < end:
            await asyncio.sleep(0.01)

    async def kill(self):
        self.signal(signal.SIGKILL)
        await self.ended()

    def wipe(self):
        self.record(f"{self.name} loses its disk")
        shutil.rmtree(self.data)

    async def metrics(self):
        answer = await ask(f"{self.ip}:9400", "/metrics", "m", method="GET", timeout=2.0)
        values = {}
        for line in answer.body.decode().splitlines():
            name, _, value = line.rpartition(" ")
            values[name.removeprefix("chestnutyoke_")] = value
        return values

    async def is_ready(self):
        return (await ask(self.ready, "/-/readyz", "r", method="GET", timeout=1.0)).status == 200


class Deployment:
    """Three data centres with a front and a store VM each."""

    def __init__(self, record, page=500):
        self.record = Record(record)
        self.folder = tempfile.mkdtemp(prefix="chestnutyoke-review-")
        self.net = free_net()
        self.platform = Platform(self.record, page)
        self.vms, self.runners = [], []

    def ip(self, last):
        return f"{self.net}.{last}"

    async def begin(self, fronts=3):
        await self.platform.listen(self.ip(250), 8142)
        for number, centre in enumerate(CENTRES):
            self.vms.append(Vm(self.record, self.folder, f"store-{centre}-1", "store", centre,
                               self.ip(10 + number), self.platform))
        for number, centre in enumerate(CENTRES[:fronts]):
            self.vms.append(Vm(self.record, self.folder, f"front-{centre}-1", "front", centre,
                               self.ip(20 + number), self.platform))
        self.stores = [vm for vm in self.vms if vm.role == "store"]
        self.fronts = [vm for vm in self.vms if vm.role == "front"]

    async def add_runners(self, service, count, first_port=8500, **options):
        for number in range(count):
            runner = Runner(self.record, self.platform, f"i-{service}-{number:04}", service,
                            CENTRES[number % 3], **options)
            await runner.begin(self.ip(100), first_port + number)
            self.runners.append(runner)

    def configure(self, version, routes, services):
        limits = {"headerBytes": 16384, "bodyBytes": 4194304, "headerMs": 3000, "idleMs": 15000}
        config = {"version": version, "routes": routes, "services": services, "limits": limits}
        self.platform.put("op/config", json.dumps(config).encode())

    async def start_all(self):
        for vm in self.vms:
            vm.start(bootstrap=True)
        await self.until("all VMs are ready", self.all_ready)

    async def all_ready(self):
        for front in self.fronts:
            if not await front.is_ready():
                return False
            metrics = await front.metrics()
            if int(metrics.get("runners", 0)) < len([r for r in self.runners if not r.gone]):
                return False
        versions = set()
        for store in self.stores:
            metrics = await store.metrics()
            versions.add((metrics.get("members_version"), metrics.get("members_ready")))
        return len(versions) == 1 and versions.pop() == ("3", "3")

    async def until(self, what, condition, timeout=30.0):
        end = time.monotonic() + timeout
        while not await condition():
            if time.monotonic() > end:
                raise CannotRun(f"timed out waiting until {what}")
            await asyncio.sleep(0.05)
        self.record(f"reached: {what}")

    def end(self):
        for vm in self.vms:
            if vm.process is not None and vm.process.poll() is None:
                vm.process.send_signal(signal.SIGCONT)
                vm.process.kill()
                vm.process.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


class CannotRun(Exception):
    """The case couldn't run."""


def free_net():
    """Finds a loopback network on which all ports that a case uses are free."""
    used = [(last, port) for last in (10, 11, 12, 20, 21, 22) for port in (7380, 8141, 8149, 9400)]
    used += [(250, 8142)] + [(100, port) for port in range(8500, 8620)]
    for _ in range(100):
        net = f"127.{random.randint(2, 250)}.{random.randint(1, 250)}"
        try:
            for last, port in used:
                with socket.socket() as probe:
                    probe.bind((f"{net}.{last}", port))
            return net
        except OSError:
            continue
    raise CannotRun("no free loopback network")


def main(record, play):
    """Runs a case and writes its record. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run."""
    deployment = Deployment(record, **getattr(play, "options", {}))
    signal.signal(signal.SIGTERM, signal.default_int_handler)

    async def limited():
        return await asyncio.wait_for(play(deployment), 110)

    loop = asyncio.new_event_loop()
    try:
        broken = loop.run_until_complete(limited())
        lines, code = ([f"BROKEN: {line}" for line in broken], 1) if broken else (["the rule held"], 0)
    except (Exception, KeyboardInterrupt) as fault:  # a case that fails in any other way couldn't run
        lines, code = [f"the case couldn't run: {fault!r}"], 2
    finally:
        deployment.end()
    for line in lines:
        deployment.record(line)
        print(line, flush=True)
    # The stand-ins' connections are still open, and end with the process.
    os._exit(code)

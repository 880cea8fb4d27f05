"""Stand-ins of the platform for the scripts of this review: its store, its runners and its callers.

All of it runs in the event loop of the script; only the gateways are processes of their own. The
formats are those of the platform's pages. Without injected faults, all stand-ins behave soundly.
"""

import asyncio
import base64
import itertools
import json
import os
import pathlib
import re
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

HELD, BROKEN, NOT_RUN = 0, 1, 2  # Exit statuses of a script.


def now_ms():
    return time.monotonic() * 1000


class Record:
    """Writes what was sent, answered and run, with the time since the start of the script."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")
        self.start = now_ms()

    def __call__(self, *words):
        line = f"{now_ms() - self.start:9.0f} ms  " + " ".join(str(word) for word in words)
        print(line, file=self.file, flush=True)


def free_port(ip):
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


# ---- HTTP


class Headers(dict):
    """Headers by their name in lower case."""

    def __getitem__(self, name):
        return dict.get(self, name.lower(), "")


async def read_head(reader):
    """Returns the first line and the headers of a message; nothing at the end of the connection."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None, None
    lines = raw[:-4].decode("latin-1").split("\r\n")
    headers = Headers()
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers, until_end=False):
    """Returns the body of a message and whether it is complete."""
    body = b""
    try:
        if headers["transfer-encoding"].lower() == "chunked":
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                body += await reader.readexactly(size)
                await reader.readuntil(b"\r\n")
                if size == 0:
                    return body, True
        if "content-length" in headers:
            body = await reader.readexactly(int(headers["content-length"]))
        elif until_end:
            body = await reader.read()
        return body, True
    except asyncio.IncompleteReadError as error:
        return body + error.partial, False
    except (ConnectionError, ValueError):
        return body, False


REASONS = {200: "OK", 202: "Accepted", 404: "Not Found", 409: "Conflict", 410: "Gone",
           412: "Precondition Failed", 421: "Misdirected Request", 503: "Service Unavailable"}


def message(status, headers=None, body=b""):
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def json_message(status, content, headers=None):
    return message(status, {"Content-Type": "application/json", **(headers or {})},
                   json.dumps(content).encode())


class Server:
    """An HTTP server on a loopback address. `serve` handles one request on a connection."""

    def __init__(self, ip):
        self.ip = ip
        self.connections = set()

    async def listen(self, port=0):
        self.server = await asyncio.start_server(self.accept, self.ip, port, limit=1 << 20)
        self.port = self.server.sockets[0].getsockname()[1]
        self.address = f"{self.ip}:{self.port}"

    async def accept(self, reader, writer):
        task = asyncio.current_task()
        self.connections.add(task)
        try:
            while True:
                line, headers = await read_head(reader)
                if line is None:
                    break
                method, target, _ = line.split(" ")
                body, complete = await read_body(reader, headers)
                if not complete:
                    break
                await self.serve(method, target, headers, body, writer)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(task)
            writer.close()

    def crash(self):
        """Ends the server and resets its connections, as the end of a process does."""
        self.server.close()
        for task in list(self.connections):
            task.cancel()


# ---- The platform's store


class Store(Server):
    def __init__(self, ip):
        super().__init__(ip)
        self.items = {}
        self.events = []
        self.leases = {}
        self.revision = 10
        self.numbers = itertools.count(100)
        self.changed = asyncio.Condition()

    async def start(self):
        await self.listen()
        self.expiry = asyncio.create_task(self.expire())

    async def expire(self):
        while True:
            await asyncio.sleep(0.05)
            for lease in [l for l, (end, _) in self.leases.items() if end <= now_ms()]:
                await self.end_lease(lease)

    async def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [k for k, item in self.items.items() if item["lease"] == lease]:
            await self.remove(key)

    async def put(self, key, value, lease=0):
        self.revision += 1
        created = self.items[key]["createdRev"] if key in self.items else self.revision
        self.items[key] = {"key": key, "value": base64.b64encode(value.encode()).decode(),
                           "revision": self.revision, "createdRev": created, "lease": lease}
        self.events.append((self.revision, dict(self.items[key])))
        async with self.changed:
            self.changed.notify_all()

    async def remove(self, key):
        if self.items.pop(key, None) is None:
            return
        self.revision += 1
        self.events.append((self.revision, {"key": key, "revision": self.revision,
                                            "tombstone": True}))
        async with self.changed:
            self.changed.notify_all()

    def text(self, key):
        return base64.b64decode(self.items[key]["value"]).decode() if key in self.items else ""

    async def serve(self, method, target, headers, body, writer):
        path, _, query = target.partition("?")
        values = {k: v[0] for k, v in urllib.parse.parse_qs(query).items()}
        status, answer = await self.answer(method, path, values, json.loads(body or b"{}"))
        writer.write(json_message(status, answer, {"Store-Era": "1"}))

    async def answer(self, method, path, values, body):
        if path == "/api/kv-range":
            prefix, after = values.get("prefix", ""), values.get("after", "")
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
            return 200, {"items": [self.items[k] for k in keys[:500]], "hasMore": len(keys) > 500,
                         "currentRev": self.revision}
        if path == "/api/kv-key":
            if values["key"] not in self.items:
                return 404, {"currentRev": self.revision}
            return 200, {**self.items[values["key"]], "currentRev": self.revision}
        if path == "/api/kv-watch":
            return await self.watch(values)
        if path == "/api/kv-txn":
            return await self.transact(body)
        if path == "/api/kv-lease":
            lease, ttl = next(self.numbers), int(body["ttlMs"])
            self.leases[lease] = (now_ms() + ttl, ttl)
            return 200, {"lease": lease, "ttlMs": ttl}
        lease = int(path.rpartition("/")[2])
        if lease not in self.leases:
            return 404, {}
        if path.startswith("/api/kv-keep/"):
            ttl = self.leases[lease][1]
            self.leases[lease] = (now_ms() + ttl, ttl)
            return 200, {"ttlMs": ttl}
        await self.end_lease(lease)
        return 200, {}

    async def watch(self, values):
        after, prefix = int(values["after"]), values.get("prefix", "")
        end = now_ms() + int(values["waitMs"])
        while True:
            found = [event for revision, event in self.events
                     if revision > after and event["key"].startswith(prefix)]
            left = (end - now_ms()) / 1000
            if found or left <= 0:
                return 200, {"events": found, "currentRev": self.revision}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass

    async def transact(self, body):
        expected = body.get("expected", [])
        revision_of = lambda key: self.items[key]["revision"] if key in self.items else 0
        if any(revision_of(row["key"]) != row["revision"] for row in expected):
            return 412, {"items": [self.items[row["key"]] for row in expected
                                   if row["key"] in self.items]}
        puts = body.get("puts", [])
        if any(put.get("lease", 0) not in (0, *self.leases) for put in puts):
            return 404, {}
        for put in puts:
            await self.put(put["key"], base64.b64decode(put["value"]).decode(),
                           put.get("lease", 0))
        for key in body.get("deletes", []):
            await self.remove(key)
        return 200, {"revision": self.revision}


# ---- Runners

BEAT_S = 1.2
FORM_S = 0.3
WARM_S = 1.1


class Runner(Server):
    """A runner. With `domain`, it serves a model in groups; otherwise it is one of a plain service.

    A subclass injects faults by overriding `on_order` or `run`.
    """

    def __init__(self, ip, name, service, store, record, domain=None, slots=6, stall_s=5.0):
        super().__init__(ip)
        self.id, self.service, self.store, self.record = name, service, store, record
        self.domain, self.slots, self.stall_s = domain, slots, stall_s
        self.fellows = {}  # All runners of the service, by id.
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.orders = 0
        self.highest_epoch = 0
        self.group = None
        self.members = []
        self.model = ""
        self.staged = []
        self.running = 0
        self.beats = 0
        self.down = False
        self.runs = []  # Ids of the requests that have begun to run.
        self.refused_orders = 0

    async def start(self):
        await self.listen()
        self.beat = asyncio.create_task(self.keep_registered())

    async def keep_registered(self):
        while not self.down:
            await self.publish()
            await asyncio.sleep(BEAT_S)

    async def publish(self):
        self.beats += 1
        entry = {"service": self.service, "addr": self.address, "zone": "ennis", "version": "v1",
                 "slots": self.slots, "state": self.state, "coldLeftMs": 0, "seq": self.beats,
                 "born": self.born}
        if self.domain is not None:
            entry.update({"domain": self.domain, "staged": self.staged, **self.membership()})
        if not self.down:
            await self.store.put("servers/" + self.id, json.dumps(entry))

    def membership(self):
        if self.group is None:
            return {"models": []}
        return {"models": [{"name": self.model, "version": 1, "adapters": []}],
                "group": dict(self.group)}

    def end(self):
        """Crashes: nothing is said any more, and the entry expires."""
        self.down = True
        self.beat.cancel()
        self.crash()

    async def expire_entry(self):
        await asyncio.sleep(3 * BEAT_S)
        await self.store.remove("servers/" + self.id)

    async def serve(self, method, target, headers, body, writer):
        if headers["x-expect-instance"] not in ("", self.id):
            writer.write(message(421, {"X-Runner-Id": self.id}))
        elif target == "/api/report":
            writer.write(json_message(200, {
                "stage": "mixed", "busy": False, "seq": self.orders, "born": self.born,
                "queued": 0, "active": self.running, "kvUsed": 0, "kvTotal": 1860000,
                "handles": 0, "pace": 1, "staged": self.staged, **self.membership()}))
        elif target == "/api/order":
            await self.on_order(json.loads(body), writer)
        else:
            await self.on_request(target, headers, writer)

    # Orders

    async def on_order(self, order, writer):
        status = await self.carry_out(order)
        writer.write(json_message(status, {}))

    async def carry_out(self, order):
        status = self.apply(order)
        self.record("runner", self.id, "order", order["op"], order.get("group", order.get("model")),
                    "epoch", order.get("epoch", "-"), "answered", status)
        if status in (200, 202):
            await self.publish()
        else:
            self.refused_orders += 1
        return status

    def apply(self, order):
        if order.get("expected", self.orders) != self.orders:
            return 409
        op = order["op"]
        if op == "stage":
            self.orders += 1
            self.staged = [order["model"]]
            return 202
        if op == "join":
            return self.join(order)
        if self.group is None or (self.group["name"], self.group["epoch"]) != (order["group"],
                                                                               order["epoch"]):
            return 409
        if op == "leave":
            self.orders += 1
            self.group = None
            return 200
        if op == "open":
            if self.group["state"] == "open":
                return 200
            if self.group["state"] != "ready" or self.group["rank"] != 0:
                return 409
            self.orders += 1
            asyncio.create_task(self.move_to("open", FORM_S, dict(self.group)))
            return 202
        if op == "close":
            if self.group["state"] != "open":
                return 200 if self.group["state"] in ("ready", "closing") else 409
            self.orders += 1
            self.group["state"] = "closing"
            asyncio.create_task(self.finish_closing(dict(self.group)))
            return 202
        return 400

    def join(self, order):
        if order["epoch"] < self.highest_epoch:
            return 412
        same = self.group is not None and (self.group["name"], self.group["epoch"]) == (
            order["group"], order["epoch"])
        if same:
            return 200 if self.members == order["members"] else 412
        self.on_join(order)
        self.orders += 1
        self.highest_epoch = order["epoch"]
        quick = self.model == order["model"]
        self.model, self.members = order["model"], order["members"]
        self.staged = [order["model"]]
        self.group = {"name": order["group"], "epoch": order["epoch"],
                      "rank": order["members"].index(self.id), "state": "joining"}
        asyncio.create_task(self.move_to("ready", 0.2 if quick else WARM_S, dict(self.group)))
        return 202

    def on_join(self, order):
        """Called before the runner joins another group."""

    async def move_to(self, state, delay, before):
        await asyncio.sleep(delay)
        if self.group == before and not self.down:
            self.group["state"] = state
            await self.publish()
            if state == "open":
                self.watch = asyncio.create_task(self.watch_members(dict(self.group)))

    async def finish_closing(self, before):
        while self.running > 0 and self.group == before:
            await asyncio.sleep(0.02)
        if self.group == before:
            self.group["state"] = "ready"
            await self.publish()

    def has_member(self, name, group):
        fellow = self.fellows[name]
        return (not fellow.down and fellow.group is not None
                and (fellow.group["name"], fellow.group["epoch"]) == (group["name"],
                                                                      group["epoch"]))

    def stands_still(self):
        """Returns whether a member of the group that this runner heads is lost."""
        return self.group is not None and not all(
            self.has_member(name, self.group) for name in self.members)

    async def watch_members(self, group):
        """A head notices the loss of a member when its work has stalled for so long."""
        lost_since = None
        while self.group is not None and not self.down and self.group["name"] == group["name"]:
            if not self.stands_still():
                lost_since = None
            elif lost_since is None:
                lost_since = now_ms()
            elif now_ms() - lost_since >= self.stall_s * 1000:
                self.group["state"] = "broken"
                await self.publish()
                return
            await asyncio.sleep(0.02)

    # Requests

    async def on_request(self, target, headers, writer):
        request = headers["x-request-id"]
        if self.domain is not None and (self.group is None or self.group["state"] != "open"):
            self.record("runner", self.id, "refused", request)
            writer.write(message(421, {"X-Request-Id": request, "At-Server": self.id}))
            return
        self.runs.append(request)
        self.record("runner", self.id, "runs", request)
        self.running += 1
        try:
            await self.run(target, headers, writer)
        finally:
            self.running -= 1

    def stamp(self, request):
        return f"{self.id}.{request}"

    async def run(self, target, headers, writer):
        if self.domain is None:
            await self.run_plain(headers, writer)
        else:
            await self.run_stream(headers, writer)

    async def run_plain(self, headers, writer, delay=0.06):
        await asyncio.sleep(delay)
        request = headers["x-request-id"]
        writer.write(message(200, {"X-Request-Id": request, "X-Server-Stamp": self.stamp(request)},
                             f"done {request}".encode()))

    def stream_head(self, headers):
        request = headers["x-request-id"]
        return {"X-Request-Id": request, "X-Server-Stamp": self.stamp(request),
                "X-Weight-Versions": "1", "Content-Type": "text/event-stream",
                "Transfer-Encoding": "chunked"}

    async def run_stream(self, headers, writer, events=10, interval=0.03, head=None):
        head = head or self.stream_head(headers)
        lines = ["HTTP/1.1 200 OK"] + [f"{name}: {value}" for name, value in head.items()]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        first = int(headers["last-event-id"] or 0) + 1
        for number in range(first, events + 1):
            await asyncio.sleep(interval)
            while self.stands_still() and self.group is not None:
                await asyncio.sleep(0.02)
            event = f"id: {number}\ndata: piece {number}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
        writer.write(b"0\r\n\r\n")


# ---- Configuration and gateways

HOST = "review.example"
KEY = "k-review-1"


def configuration(version=3, engine=True, slots=6, model_size=4):
    routes = [
        {"name": "r-order", "host": HOST, "prefix": "/order/", "kind": "non_idempotent",
         "timeoutMs": 4000, "goalMs": 300, "priority": 2, "service": "orders", "attempts": 1,
         "public": False},
        {"name": "r-look", "host": HOST, "prefix": "/look/", "kind": "idempotent",
         "timeoutMs": 4000, "goalMs": 300, "priority": 2, "service": "orders", "attempts": 2,
         "public": False},
    ]
    services = [{"name": "orders", "healthPath": "/healthz", "maxConns": 96, "protocol": "h1",
                 "tls": False}]
    if engine:
        routes.append({"name": "r-chat", "host": HOST, "prefix": "/chat/", "kind": "stream",
                       "timeoutMs": 8000, "goalMs": 400, "priority": 1, "service": "chat",
                       "attempts": 2, "public": False, "sticky": True, "resumable": True,
                       "gapTargetMs": 300})
        services.append({"name": "chat", "healthPath": "/healthz", "maxConns": 288,
                         "protocol": "h1", "tls": False, "engine": {
                             "slots": slots, "kvCapacity": 1860000, "kvTokenBytes": 96256,
                             "linkMbps": 400000.0, "stride": 5, "models": [
                                 {"name": "m0", "size": model_size, "share": 1.0, "pace": 1.0,
                                  "loadS": 12.0, "warmS": WARM_S}],
                             "step_ms": 7.8, "per_seq_ms": 0.0947, "context_per_k": 0.0096,
                             "read_per_s": 45900.0, "pairs_per_m": 0.433, "chunk": 2048,
                             "report_lag_ms": 200.0, "loadsPerS": 5.0, "loads_at_once": 7,
                             "usual": {"prompt": 979, "answer": 154}, "keeps": 1, "far_x": 3.0,
                             "formMs": FORM_S * 1000}})
    return {"version": version, "routes": routes, "services": services,
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000},
            "tenants": [{"name": "t-review", "apiKeys": [KEY], "priority": 1}]}


def render(template, fields):
    """Fills in a settings template as the deploy page tells; it uses only part of the syntax."""
    def value(path):
        found = fields
        for name in path.split("."):
            found = found[int(name)] if isinstance(found, list) else found.get(name)
            if found is None:
                return None
        return found

    def section(match):
        return match.group(2) if value(match.group(1)) is not None else ""

    def word(match):
        path, _, form = match.group(1).partition("|")
        found = value(path)
        if form == "json":
            return json.dumps(found)
        return "" if found is None else str(found)

    template = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.|]+)\}\}", word, template)


class Gateway:
    """A gateway process, started with the command and the settings template of the deploy file."""

    def __init__(self, name, ip, store, folder, record, peer_port, seeds, memory_mb=260,
                 stall_ms=5000):
        self.name, self.ip, self.record, self.folder = name, ip, record, pathlib.Path(folder)
        ports = {n: free_port(ip) for n in ("front", "ready", "control", "directory", "metrics")}
        self.front = (ip, ports["front"])
        self.ready = (ip, ports["ready"])
        self.memory_mb = memory_mb
        fields = {
            "nodeName": name, "zone": "ennis", "ip": ip, "firstStart": True, "seeds": seeds,
            "internalPorts": [peer_port, peer_port + 15],
            "listen": {n: f"{ip}:{p}" for n, p in ports.items()},
            "limits": {"cpuShare": 0.25, "cores": 1, "memoryMb": memory_mb, "maxFds": 4200},
            "bounds": {"graceS": 8, "strictRevoke": True, "revokeMs": 5000, "budgetRatio": 0.2,
                       "budgetSlack": 105, "budgetWindowS": 10, "stallMs": stall_ms},
            "platform": {"addr": store.address}}
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["entry"]
        text = render((ROOT / deploy["template"]).read_text(), fields)
        # All stand-in machines share this one, so the port for metrics must be free too.
        text = re.sub(r"metrics_port = \d+", f"metrics_port = {ports['metrics']}", text)
        self.settings = self.folder / f"{name}.toml"
        self.settings.write_text(text)
        self.command = deploy["run"].split()
        self.process = None

    def start(self):
        log = open(self.folder / f"{self.name}.log", "ab")
        self.process = subprocess.Popen(
            self.command, cwd=ROOT, stdout=log, stderr=log, stdin=subprocess.DEVNULL,
            env={"PATH": os.environ["PATH"], "LIMPETFALL_SETTINGS": str(self.settings)})
        self.record("gateway", self.name, "starts")

    def is_running(self):
        return self.process is not None and self.process.poll() is None

    def resident_mb(self):
        try:
            for line in open(f"/proc/{self.process.pid}/status", encoding="ascii"):
                if line.startswith("VmRSS:"):
                    return int(line.split()[1]) / 1024
        except OSError:
            pass
        return 0

    def end(self):
        if self.is_running():
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    def log(self):
        return (self.folder / f"{self.name}.log").read_text(errors="replace")


async def guard_memory(gateway, record, result):
    """The machine: kills the process as soon as it exceeds the memory of the machine."""
    while gateway.is_running():
        used = gateway.resident_mb()
        result["peak"] = max(result["peak"], used)
        if used > gateway.memory_mb:
            record("machine kills", gateway.name, f"which uses {used:.0f} MB of",
                   gateway.memory_mb, "MB")
            gateway.process.kill()
            gateway.process.wait()
            result["killed"] = True
            return
        await asyncio.sleep(0.02)
    record("gateway", gateway.name, "ended by itself")
    result["killed"] = True


async def is_ready(gateway):
    answer = await call(gateway.ready, "GET", "/api/readyz", {}, timeout=1)
    return answer is not None and answer.status == 200


async def wait_for(condition, seconds):
    end = now_ms() + seconds * 1000
    while now_ms() < end:
        found = condition()
        if asyncio.iscoroutine(found):
            found = await found
        if found:
            return True
        await asyncio.sleep(0.05)
    return False


# ---- Callers


class Answer:
    def __init__(self, status, headers, body, complete):
        self.status, self.headers, self.body, self.complete = status, headers, body, complete


async def call(address, method, target, headers, body=b"", timeout=8):
    """Sends a request on a new connection. Returns the answer; nothing if there was none."""
    writer = None
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(*address), 1)
        lines = [f"{method} {target} HTTP/1.1", f"Host: {HOST}"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        if method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        return await asyncio.wait_for(read_answer(reader), timeout)
    except (OSError, asyncio.TimeoutError):
        return None
    finally:
        if writer is not None:
            writer.close()


async def read_answer(reader):
    line, headers = await read_head(reader)
    if line is None:
        return None
    status = int(line.split(" ")[1])
    body, complete = await read_body(reader, headers, until_end=True)
    return Answer(status, headers, body, complete)


async def request(address, record, name, target, method="POST", deadline_ms=4000, extra=None):
    """An ordinary caller's request, with its record. Returns the answer, or nothing."""
    headers = {"X-Request-Id": name, "X-Deadline-Ms": deadline_ms, "X-Key": KEY, **(extra or {})}
    record("caller sends", name, method, target)
    answer = await call(address, method, target, headers, timeout=deadline_ms / 1000 + 1)
    if answer is None:
        record("caller got no answer to", name)
    else:
        record("caller got", answer.status, "to", name, "stamp",
               answer.headers["x-server-stamp"] or "-", "complete" if answer.complete else "cut")
    return answer


def run_script(folder, main):
    """Runs `main(record, folder)` with a temporary folder; returns the exit status."""
    if not (ROOT / "target/limpetfall-gateway").exists():
        print("the gateway is not built")
        return NOT_RUN
    record = Record(folder)
    record("TROUBLE =", 1 if TROUBLE else 0)
    gateways = []
    with tempfile.TemporaryDirectory() as temporary:
        try:
            status = asyncio.run(asyncio.wait_for(main(record, temporary, gateways), 110))
        except Exception as error:  # The case could not run as planned.
            record("the case could not run:", repr(error))
            status = NOT_RUN
        finally:
            for gateway in gateways:
                gateway.end()
            if os.environ.get("KEEP_LOGS"):
                for gateway in gateways:
                    pathlib.Path(os.environ["KEEP_LOGS"], gateway.name + ".log").write_text(
                        gateway.log())
    record("result:", {HELD: "held", BROKEN: "broken", NOT_RUN: "not run"}[status])
    print({HELD: "held", BROKEN: "broken", NOT_RUN: "not run"}[status])
    return status

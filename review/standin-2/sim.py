"""Stand-ins for the users' platform: the store, executors, the machine list, and a client.

All of them run in one process, on loopback addresses and the real clock. They follow the users'
pages; where a page is silent they behave like a sound server, client or platform.
"""

import asyncio
import base64
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
PROGRAM = os.path.join(ROOT, "target", "release", "mimosa-node")
# The command of deploy/system.toml, run in the repository's root.
COMMAND = ["target/release/mimosa-node"]
HEARTBEAT_MS = 1500
STORE_ANSWER_S = 0.004
APPEND_S = 0.002
# A case takes 120 s at most.
LONGEST_S = 118
# Status by which a case says that the rule was broken. Python itself ends with 1 after any error.
BROKEN_STATUS = 10


class CannotRun(Exception):
    """The case could not be run."""


class Record:
    """What was sent, answered and run; printed and written to `record.txt`."""

    def __init__(self, folder):
        self.start = time.monotonic()
        self.path = os.path.join(folder, "record.txt")
        self.file = open(self.path, "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.start

    def write(self, text):
        self.file.write(f"{self.now():9.3f}  {text}\n")
        self.file.flush()


async def read_message(reader):
    """Reads one HTTP/1.1 message; returns its first line, headers and body, or None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, sep, value = line.partition(":")
        if sep:
            headers[name.strip().lower()] = value.strip()
    body = b""
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            while True:
                size = int((await reader.readline()).split(b";")[0], 16)
                chunk = await reader.readexactly(size + 2)
                if size == 0:
                    break
                body += chunk[:-2]
        else:
            body = await reader.readexactly(int(headers.get("content-length", 0)))
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return None
    return lines[0], headers, body


def encode_response(status, body):
    if isinstance(body, (dict, list)):
        body = json.dumps(body).encode()
        kind = "application/json"
    else:
        kind = "application/octet-stream"
    head = f"HTTP/1.1 {status} X\r\ncontent-type: {kind}\r\ncontent-length: {len(body)}\r\n\r\n"
    return head.encode() + body


class HttpServer:
    """Serves `self.handle(method, path, query, headers, body)` on a loopback address."""

    def __init__(self):
        self.server = None
        self.port = None
        self.writers = set()
        self.closed = False
        # While cleared, nothing is read from or written to channels: the server is cut off.
        self.link = asyncio.Event()
        self.link.set()

    async def listen(self, port=0):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port, limit=1 << 24)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    @property
    def address(self):
        return f"127.0.0.1:{self.port}"

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    return
                await self.link.wait()
                if self.closed:
                    return
                first, headers, body = message
                method, target, _ = first.split(" ", 2)
                url = urllib.parse.urlsplit(target)
                query = dict(urllib.parse.parse_qsl(url.query))
                answer = await self.handle(method, url.path, query, headers, body)
                await self.link.wait()
                if answer is None:
                    # No response: the channel stays open and silent.
                    await asyncio.sleep(3600)
                writer.write(encode_response(*answer))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def close(self):
        """Ends the process of the stand-in, as a kill does: all its channels are reset."""
        self.closed = True
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


class Store(HttpServer):
    """The platform's store: a log, and one consumer group."""

    def __init__(self, record, keep_s=300, parts=12, record_bytes=262144):
        super().__init__()
        self.record = record
        self.keep_s, self.parts, self.record_bytes = keep_s, parts, record_bytes
        self.logs = {}
        self.producers = {}
        self.changed = asyncio.Event()
        self.generation = 0
        self.members = {}
        self.target = {}
        self.held = {}
        self.refused = 0

    def log(self, topic, part):
        """Records as [time, bytes], with the offset of the first."""
        return self.logs.setdefault((topic, part), {"first": 0, "records": []})

    def expire(self, topic, log):
        if topic.startswith("keyed."):
            return
        limit = time.monotonic() - self.keep_s
        count = 0
        while count < len(log["records"]) and log["records"][count][0] < limit:
            count += 1
        if count:
            del log["records"][:count]
            log["first"] += count

    def push(self, topic, part, contents):
        log = self.log(topic, part)
        offset = log["first"] + len(log["records"])
        log["records"].extend([time.monotonic(), content] for content in contents)
        self.changed.set()
        self.changed = asyncio.Event()
        return offset

    def put(self, topic, key, value):
        """Writes a key's value as the operator or an executor does; None deletes the key."""
        text = b"" if value is None else json.dumps(value).encode()
        self.push(topic, 0, [bytes([len(key)]) + key.encode() + text])

    def newest(self, topic):
        latest = {}
        log = self.log(topic, 0)
        for index, (_, content) in enumerate(log["records"]):
            size = content[0]
            latest[content[1 : 1 + size].decode()] = (log["first"] + index, content[1 + size :])
        return latest

    async def handle(self, method, path, query, headers, body):
        await asyncio.sleep(STORE_ANSWER_S)
        if path == "/api/log-append":
            return await self.append(query, body)
        if path == "/api/log-read":
            return await self.read(query)
        if path == "/api/log-newest":
            return self.newest_page(query)
        if path == "/api/log-join":
            return self.join(json.loads(body))
        if path == "/api/log-leave":
            self.remove(json.loads(body)["member"], "leaves")
            return 200, {}
        if path == "/api/log-owners":
            rows = [["jobs", part, member, 0] for part, member in sorted(self.held.items())]
            return 200, {"parts": rows}
        return 404, {}

    async def append(self, query, body):
        topic, part = query["topic"], int(query.get("part", 0))
        if topic in ("keyed.op", "keyed.servers"):
            return 403, {}
        contents = []
        rest = body
        while rest:
            size = int.from_bytes(rest[:4], "big")
            if size > self.record_bytes:
                self.refused += 1
                if self.refused in (1, 2, 3):
                    self.record.write(
                        f"store: append to {topic}/{part} refused, a record has {size} bytes "
                        f"(record_bytes is {self.record_bytes})"
                    )
                return 413, {"reason": "size"}
            contents.append(rest[4 : 4 + size])
            rest = rest[4 + size :]
        await asyncio.sleep(APPEND_S)
        log = self.log(topic, part)
        self.expire(topic, log)
        end = log["first"] + len(log["records"])
        known = None
        if "epoch" in query:
            epoch, sequence = int(query["epoch"]), int(query["sequence"])
            name = (topic, part, query["producer"])
            known = self.producers.setdefault(name, {"epoch": 0, "next": None, "recent": []})
            if epoch < known["epoch"]:
                return 409, {"reason": "fenced"}
            if epoch > known["epoch"]:
                known.update(epoch=epoch, next=None, recent=[])
            for number, answer in known["recent"]:
                if number == sequence:
                    return 200, answer
            if known["next"] not in (None, sequence):
                return 409, {"reason": "seq", "sequence": known["next"]}
        if "at" in query and int(query["at"]) != end:
            return 412, {"end": end}
        offset = self.push(topic, part, contents)
        answer = {"offset": offset, "end": offset + len(contents)}
        if known is not None and contents:
            known["next"] = sequence + 1
            known["recent"] = (known["recent"] + [(sequence, answer)])[-5:]
        return 200, answer

    async def read(self, query):
        topic, part = query["topic"], int(query.get("part", 0))
        start, limit = int(query["from"]), int(query.get("max_kb", 1024)) * 1024
        until = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        while True:
            log = self.log(topic, part)
            self.expire(topic, log)
            first, end = log["first"], log["first"] + len(log["records"])
            if start < first:
                return 410, {"first": first}
            left = until - time.monotonic()
            if start < end or left <= 0:
                break
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass
        out = [end.to_bytes(8, "big") + first.to_bytes(8, "big")]
        size = 0
        for _, content in log["records"][max(0, start - first) :]:
            size += len(content) + 4
            if size > limit:
                break
            out.append(len(content).to_bytes(4, "big") + content)
        return 200, b"".join(out)

    def newest_page(self, query):
        after = query.get("depends_on", "")
        latest = self.newest(query["topic"])
        items = [
            {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
            for key, (offset, value) in sorted(latest.items())
            if value and key > after
        ]
        log = self.log(query["topic"], 0)
        end = log["first"] + len(log["records"])
        return 200, {"items": items[:500], "more": len(items) > 500, "end": end}

    # The consumer group.

    def rebalance(self):
        """Deals the partitions evenly, with few moves; members that have too many give the lowest."""
        self.generation += 1
        names = sorted(self.members, key=lambda name: self.members[name]["joined"])
        if not names:
            self.target = {}
            return
        most = -(-self.parts // len(names))
        kept = {name: [] for name in names}
        for part in range(self.parts - 1, -1, -1):
            owner = self.target.get(part)
            if owner in kept and len(kept[owner]) < most:
                kept[owner].append(part)
        free = [p for p in range(self.parts) if not any(p in parts for parts in kept.values())]
        for part in free:
            min(kept.values(), key=len).append(part)
        self.target = {part: name for name, parts in kept.items() for part in parts}

    def remove(self, name, why):
        if self.members.pop(name, None) is None:
            return
        self.record.write(f"store: {name} {why}")
        self.held = {part: member for part, member in self.held.items() if member != name}
        self.rebalance()

    def expire_members(self):
        now = time.monotonic()
        for name, member in list(self.members.items()):
            if now > member["seen"] + member["ttl"]:
                self.remove(name, "has sent nothing for its ttl")

    def join(self, body):
        self.expire_members()
        name, now = body["member"], time.monotonic()
        member = self.members.get(name)
        if member is None:
            self.members[name] = {"joined": now, "seen": now, "ttl": body["ttl_ms"] / 1000}
            self.rebalance()
        else:
            member.update(seen=now, ttl=body["ttl_ms"] / 1000)
            if body.get("generation", 0) >= self.generation:
                for part, holder in list(self.held.items()):
                    if holder == name and self.target.get(part) != name:
                        del self.held[part]
        for part, owner in self.target.items():
            if owner == name and part not in self.held:
                self.held[part] = name
        rows = [
            ["jobs", part, 0]
            for part, owner in sorted(self.target.items())
            if owner == name and self.held.get(part) == name
        ]
        return 200, {"generation": self.generation, "parts": rows}

    async def watch(self):
        while True:
            self.expire_members()
            await asyncio.sleep(0.05)

    def owner(self):
        """Name of the member with the last partition."""
        self.expire_members()
        return self.held.get(self.parts - 1)


def options(spec):
    """Options of a task, which its submission's spec states as `name=number,...`.

    `ms`: duration of its work; left out, it runs until it is stopped. `save`: it checkpoints its
    progress with each so many ms of work. `gang`: so many tasks work only together.
    """
    pairs = (part.partition("=") for part in spec.split(",") if "=" in part)
    return {name: int(value) for name, _, value in pairs}


class Gangs:
    """The members of gangs that are present, by step and run, over all executors."""

    def __init__(self):
        self.members = {}

    def join(self, run):
        members = self.members.setdefault((run["step"], run["run"]), [])
        members.append(run)
        if len(members) == run["gang"]:
            now = time.monotonic()
            for member in members:
                member["work"] = now

    def others(self, run):
        """The members that still run, when `run` has ended."""
        members = self.members.get((run["step"], run["run"]), [])
        return [member for member in members if member["end"] is None]


class Executor(HttpServer):
    """One life of an executor. Durations and checkpoints of its tasks stand in their spec."""

    def __init__(self, record, store, name, service, zone="caerdydd-a", cpu=16000, rack="r1",
                 machine=None, hold_max_ms=6000, stop_ms=200, first_beat_s=0.0, gangs=None, gang_ms=3000, guards=True):
        super().__init__()
        self.record, self.store = record, store
        self.name, self.service, self.zone = name, service, zone
        self.capacity = {"cpu": cpu, "mem_mb": 65536, "gpu": 0}
        self.labels = ["a", rack]
        self.machine = machine or f"m-{name}"
        self.hold_max_ms, self.stop_ms, self.first_beat_s = hold_max_ms, stop_ms, first_beat_s
        self.gangs, self.gang_ms, self.guards = gangs or Gangs(), gang_ms, guards
        self.demand = None
        self.born = int(time.time() * 1000)
        self.started = time.monotonic()
        self.fence = 0
        self.deadline = 0
        # The last deadline that has passed, and when deadlines have passed.
        self.lapsed, self.lapses = 0, []
        self.running = {}
        self.ended = []
        self.last_end = 0
        self.highest = {}
        self.acked = 0
        self.news = asyncio.Event()
        self.runs = []
        self.state = "ready"
        self.sequence = 0
        self.up = True
        self.orders = []

    def clock(self):
        return int((time.monotonic() - self.started) * 1000)

    async def open(self, port=0):
        await self.listen(port)
        self.tasks = [asyncio.create_task(self.run()), asyncio.create_task(self.beat())]
        return self

    def entry(self):
        return {
            "service": self.service, "address": self.address, "zone": self.zone, "version": "v1",
            "slots": 8, "state": self.state, "cold_remaining_ms": 0, "sequence": self.sequence,
            "capacity": self.capacity, "labels": self.labels, "machine": self.machine,
            "born": self.born,
        }

    async def beat(self):
        await asyncio.sleep(self.first_beat_s)
        while self.up:
            if self.link.is_set():
                self.sequence += 1
                self.store.put("keyed.servers", self.name, self.entry())
            await asyncio.sleep(HEARTBEAT_MS / 1000)

    async def kill(self):
        self.up = False
        for task in self.tasks:
            task.cancel()
        for task in list(self.running):
            self.finish(task, "lost with the executor", listed=False)
        await self.close()
        self.record.write(f"executor {self.name}: crashed")

    def finish(self, task, how, listed=True):
        run = self.running.pop(task)
        saved = self.saved(run, how)
        run["end"] = time.monotonic()
        run["how"] = how
        self.highest[task] = max(self.highest.get(task, 0), run["run"])
        if listed:
            self.last_end += 1
            run["number"] = self.last_end
            self.ended.append([self.last_end, task, run["run"], how, saved])
            self.news.set()
            self.news = asyncio.Event()
        note = f", saved {saved}" if saved else ""
        self.record.write(f"executor {self.name}: {task} run {run['run']} ended {how}{note}")
        if run["gang"]:
            for other in self.gangs.others(run):
                other["broken"] = "done" if how == "done" else "broken"

    def saved(self, run, how=None):
        """The saved progress of a run: of its last checkpoint, or of now if it is being stopped."""
        every = run["save"]
        if not every:
            return ""
        done = self.progress(run)
        if how != "stopped":
            # Counted from where this run began.
            done = run["from"] + (done - run["from"]) // every * every
        return f"{done:08x}{run['task'][4:12]}" if done else ""

    @staticmethod
    def progress(run):
        """Work done so far, in ms."""
        if run["work"] is None:
            return run["from"]
        return run["from"] + int((time.monotonic() - run["work"]) * 1000)

    async def run(self):
        while self.up:
            now = time.monotonic()
            for task, run in list(self.running.items()):
                if run["broken"] is not None:
                    self.finish(task, run["broken"])
                elif run["stop"] is not None and now >= run["stop"]:
                    self.finish(task, "stopped")
                elif run["ms"] is not None and self.progress(run) >= run["ms"]:
                    self.finish(task, "done")
                elif run["work"] is None and now >= run["begin"] + self.gang_ms / 1000:
                    self.finish(task, "alone")
            if self.clock() >= self.deadline > self.lapsed:
                self.lapsed = self.deadline
                self.lapses.append(now)
            if self.running and self.clock() >= self.deadline:
                for task in list(self.running):
                    self.finish(task, "lapsed")
            await asyncio.sleep(0.005)

    def lease(self, deadline):
        if deadline is not None:
            self.deadline = max(self.deadline, min(deadline, self.clock() + self.hold_max_ms))

    def answer(self, status, **fields):
        return status, {"clock_ms": self.clock(), "born": self.born, **fields}

    async def handle(self, method, path, query, headers, body):
        if method == "GET":
            return 200, {}
        order = json.loads(body)
        if headers.get("x-expected-instance") not in (None, self.name):
            return self.answer(421)
        fence = order.get("fencing_token", 0)
        if fence < self.fence:
            return self.answer(409, reason="fence")
        self.fence = fence
        if path == "/api/run-start":
            return self.start(order)
        if path == "/api/run-stop":
            return self.stop(order)
        if path == "/api/pace":
            return self.answer(200)
        if path == "/api/hold":
            return await self.hold(order)
        return 404, {}

    def start(self, order):
        task, number = order["task"], order["run"]
        self.orders.append((task, number, order.get("spec")))
        present = self.running.get(task)
        if present is not None and present["run"] == number:
            return self.answer(200)
        if number <= self.highest.get(task, 0) or present is not None:
            self.lease(order["deadline_ms"])
            return self.answer(409, reason="old")
        if order["deadline_ms"] <= self.clock():
            return self.answer(409, reason="late")
        if self.guards and self.demand is not None and not self.fits(task):
            self.lease(order["deadline_ms"])
            return self.answer(409, reason="room")
        self.lease(order["deadline_ms"])
        now = time.monotonic()
        chosen = options(order.get("spec", ""))
        gang, saved = chosen.get("gang"), order.get("saved", "")
        run = {"task": task, "run": number, "begin": now, "work": None if gang else now,
               "step": task.rsplit(".", 1)[0], "gang": gang, "ms": chosen.get("ms"),
               "save": chosen.get("save"), "saved": saved, "broken": None, "stop": None,
               "from": int(saved[:8], 16) if saved else 0, "end": None, "how": None,
               "number": None, "noted": None, "executor": self.name, "life": self, "over": not self.fits(task),
               "fence": order["fencing_token"]}
        self.running[task] = run
        self.runs.append(run)
        self.record.write(
            f"executor {self.name}: {task} run {number} begins, fence {order['fencing_token']}, "
            f"lease until {self.deadline} on its clock, now {self.clock()}"
            + (f", saved {saved}" if saved else "")
        )
        if gang:
            self.gangs.join(run)
        return self.answer(200)

    def fits(self, task):
        """Whether a task fits beside what runs; `demand` tells what each task takes."""
        if self.demand is None:
            return True
        used = {"cpu": 0, "mem_mb": 0}
        for other in [task, *self.running]:
            for name, amount in self.demand(other).items():
                used[name] = used.get(name, 0) + amount
        return all(used[name] <= self.capacity[name] for name in ("cpu", "mem_mb"))

    def stop(self, order):
        task, number = order["task"], order["run"]
        present = self.running.get(task)
        if present is not None and present["run"] == number:
            present["stop"] = time.monotonic() + min(0.05, self.stop_ms / 1000)
        self.highest[task] = max(self.highest.get(task, 0), number)
        return self.answer(200)

    async def hold(self, order):
        acked = order.get("acked_upto", 0)
        self.acked = max(self.acked, acked)
        for run in self.runs:
            if run["number"] and run["number"] <= acked and run["noted"] is None:
                run["noted"] = time.monotonic()
        self.ended = [end for end in self.ended if end[0] > acked]
        self.lease(order.get("deadline_ms"))
        until = time.monotonic() + min(order.get("wait_ms", 0), 2000) / 1000
        while not self.ended:
            left = until - time.monotonic()
            if left <= 0:
                break
            try:
                await asyncio.wait_for(self.news.wait(), left)
            except asyncio.TimeoutError:
                break
        running = [
            [task, run["run"], self.saved(run), self.percent(run), 0]
            for task, run in self.running.items()
        ]
        return self.answer(200, running=running, ended=self.ended[:500])

    def percent(self, run):
        if run["ms"] is None:
            return 100 if time.monotonic() > run["begin"] + 0.3 else 0
        return min(99, int(100 * self.progress(run) / max(1, run["ms"])))


class Cloud(HttpServer):
    """The platform's list of machines. Moves and upkeeps are refused as busy."""

    def __init__(self, executors):
        super().__init__()
        self.executors = executors

    async def handle(self, method, path, query, headers, body):
        await asyncio.sleep(STORE_ANSWER_S)
        if path != "/api/machines":
            return 409, {"reason": "busy"}
        rows = [
            {"machine": executor.machine, "pool": executor.service,
             "state": "up" if executor.up else "down", "zone": executor.zone,
             "labels": executor.labels, "capacity": executor.capacity, "id": executor.name}
            for executor in self.executors()
        ]
        return 200, {"machines": rows}


def config(services, version=3, body_limit=262144):
    """A configuration with one queue for each service, under the prefix /SERVICE/."""
    return {
        "version": version,
        "routes": [
            {"name": f"r-{service}", "host": "site.example", "path_prefix": f"/{service}/",
             "kind": "unsafe", "timeout_ms": 3000, "target_latency_ms": 600, "priority": 0,
             "service": service, "max_attempts": 4, "stretch": 2.0, "public": False}
            for service in services
        ],
        "services": [{"name": service, "admission_control": True} for service in services],
        "limits": {"max_body_bytes": body_limit},
        "tenants": [{"name": "team-1", "api_keys": ["key-1"], "weight": 1,
                     "at_most": {"cpu": 0, "mem_mb": 0, "gpu": 0}}],
    }


SETTINGS = """\
node: "{node}"
role: "node"
machine_class: "front"
serves:
  - "front"
  - "control"
ip: "{ip}"
zone: "caerdydd-a"
region: "caerdydd"
zones:
  caerdydd-a: "caerdydd"
listen:
  front: "{ip}:{front}"
  ready: "{ip}:{ready}"
  control: "{ip}:{control}"
port_range:
  - 7000
  - 7015
seeds: []
bootstrap: {bootstrap}
loss_counts: false
limits:
  cpu_share: 0.25
  cores: 1
  memory_mb: 260
  max_fds: 4100
  link_mbps: 1000.0
  disk_mb: 0
data_dir: null
discovery: "platform"
entry: "vip"
heartbeat_ms: 1500
bounds:
  contact_ms: 3000
  ack_ms: 4000
  grace_s: 6
  loss_slack_ms: 200
  config_ms: 2000
  hold_max_ms: 6000
  stop_ms: 200
  cancel_ms: 3000
  visible_ms: 3000
  finish_s: 14
  status_s: 120
  require_fencing: true
  lease_ms: 3000
orders: "call"
platform:
  address: "{store}"
  form: "log"
  writes_per_s: 800
  reads_per_s: 2000
  parts: 12
  append_ms: 2.0
  part_mb_s: 20.0
  read_mb_s: 80.0
  record_bytes: {record_bytes}
  call_bytes: 2097152
  keep_s: {keep_s}
  part_mb: 200
  ttl_min_ms: 1000
cloud:
  address: "{cloud}"
  rate_per_s: 64.0
  duties: []
  duty_per_s: 64.0
"""


def free_port(ip):
    with socket.socket() as sock:
        sock.bind((ip, 0))
        return sock.getsockname()[1]


class Node:
    """One machine of the system, with its process."""

    def __init__(self, site, number):
        self.site, self.name = site, f"front-{number}"
        self.ip = f"127.{site.net}.{number}"
        self.ports = {name: free_port(self.ip) for name in ("front", "ready", "control")}
        self.path = os.path.join(site.folder, f"{self.name}.yaml")
        self.process = None
        self.lives = 0

    def write_settings(self, extra=""):
        text = SETTINGS.format(
            node=self.name, ip=self.ip, **self.ports, store=self.site.store.address,
            cloud=self.site.cloud.address, keep_s=self.site.store.keep_s,
            record_bytes=self.site.store.record_bytes,
            bootstrap="true" if self.lives == 0 else "false",
        )
        # Replaced in one step, so that no reader sees a part of it.
        with open(self.path + ".new", "w", encoding="utf-8") as file:
            file.write(text + extra)
        os.replace(self.path + ".new", self.path)

    async def start(self):
        self.write_settings()
        self.lives += 1
        log = open(os.path.join(self.site.folder, f"{self.name}.log"), "ab")
        self.process = await asyncio.create_subprocess_exec(
            *COMMAND, cwd=ROOT, stdout=log, stderr=log, stdin=asyncio.subprocess.DEVNULL,
            env={"PATH": os.environ.get("PATH", ""), "MIMOSASTEP_NODE_FILE": self.path},
        )
        log.close()
        self.site.record.write(f"{self.name}: started as process {self.process.pid}")

    def signal(self, number):
        self.site.record.write(f"{self.name}: {signal.Signals(number).name} sent")
        self.process.send_signal(number)

    def alive(self):
        return self.process is not None and self.process.returncode is None

    def log_text(self):
        with open(os.path.join(self.site.folder, f"{self.name}.log"), encoding="utf-8",
                  errors="replace") as file:
            return file.read()


class Answer:
    """Outcome of a client's request: the status, or None if the channel ended without an answer."""

    def __init__(self, status, body, sent, done, error=None):
        self.status, self.body, self.sent, self.done, self.error = status, body, sent, done, error

    def __repr__(self):
        took = (self.done - self.sent) * 1000
        return f"{self.status or self.error} after {took:.0f} ms {self.body[:80] if self.body else ''}"


async def request(ip, port, method, path, body=None, key="key-1", wait_ms=3000):
    """Sends one request on a channel of its own, as a client does, and waits for its answer."""
    sent = time.monotonic()
    try:
        reader, writer = await asyncio.open_connection(ip, port, limit=1 << 24)
    except OSError as err:
        return Answer(None, None, sent, time.monotonic(), f"not connected ({err})")
    try:
        data = b"" if body is None else json.dumps(body, separators=(",", ":")).encode()
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: site.example\r\nX-Credential: {key}\r\n"
            f"X-Deadline-Ms: {wait_ms}\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(data)}\r\n\r\n"
        )
        writer.write(head.encode() + data)
        await writer.drain()
        sent = time.monotonic()
        message = await asyncio.wait_for(read_message(reader), wait_ms / 1000 + 1)
        if message is None:
            return Answer(None, None, sent, time.monotonic(), "channel ended")
        first, _, text = message
        return Answer(int(first.split(" ")[1]), text.decode(), sent, time.monotonic())
    except asyncio.TimeoutError:
        return Answer(None, None, sent, time.monotonic(), "no answer in time")
    except OSError as err:
        return Answer(None, None, sent, time.monotonic(), f"channel ended ({err})")
    finally:
        writer.close()


class Site:
    """A small deployment: the store, the machine list, executors and the system's machines."""

    def __init__(self, folder, services, nodes, **store):
        self.record = Record(folder)
        self.services, self.count, self.store_args = services, nodes, store
        self.executors, self.nodes, self.lost = [], [], []
        self.net = f"{random.randrange(16, 250)}.{random.randrange(1, 250)}"

    async def open(self):
        if not os.path.exists(PROGRAM):
            raise CannotRun(f"{PROGRAM} is not built")
        self.temp = tempfile.TemporaryDirectory(prefix="mimosa-case-")
        self.folder = self.temp.name
        self.store = await Store(self.record, **self.store_args).listen()
        self.cloud = await Cloud(lambda: self.executors).listen()
        self.store.put("keyed.op", "config", config(self.services))
        self.background = [asyncio.create_task(self.store.watch())]

    async def add_executor(self, name, service, **args):
        port = args.pop("port", 0)
        executor = await Executor(self.record, self.store, name, service, **args).open(port)
        self.executors.append(executor)
        return executor

    async def start_nodes(self):
        self.nodes = [Node(self, number + 1) for number in range(self.count)]
        await asyncio.gather(*(node.start() for node in self.nodes))
        await self.wait("all machines are ready", self.all_ready, 20)
        await self.wait("an owner is elected", self.owner_node, 20)
        await asyncio.sleep(1.0)

    async def all_ready(self):
        answers = await asyncio.gather(*(self.ready(node) for node in self.nodes))
        return all(answers)

    async def ready(self, node):
        answer = await request(node.ip, node.ports["ready"], "GET", "/api/ready", wait_ms=1000)
        return answer.status == 200

    def owner_node(self):
        name = self.store.owner() or ""
        for node in self.nodes:
            if name.startswith(node.name + "/") and node.alive():
                return node
        return None

    async def wait(self, what, check, seconds):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            result = check()
            if asyncio.iscoroutine(result):
                result = await result
            if result:
                return result
            await asyncio.sleep(0.02)
        raise CannotRun(f"after {seconds} s it is not so that {what}")

    async def call(self, node, method, path, body=None, wait_ms=3000, note=True):
        answer = await request(node.ip, node.ports["front"], method, path, body, wait_ms=wait_ms)
        if note:
            size = "" if body is None else f" ({len(json.dumps(body, separators=(',', ':')))} bytes)"
            self.record.write(f"client: {method} {path}{size} at {node.name}: {answer!r}")
        return answer

    async def close(self):
        for node in self.nodes:
            if node.alive():
                node.process.kill()
                await node.process.wait()
        for executor in self.executors:
            executor.up = False
        self.temp.cleanup()

    def all_runs(self):
        return [run for executor in self.executors + self.lost for run in executor.runs]


def main(folder, play):
    """Plays a case; exits with `BROKEN_STATUS` if the rule was broken, 0 if it held, 2 if it couldn't run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        task = asyncio.ensure_future(play(trouble))
        # The case ends its processes also if it is stopped from outside.
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        done, _ = await asyncio.wait([task], timeout=LONGEST_S)
        if done and not task.cancelled():
            return task.result()
        task.cancel()
        await asyncio.wait([task])
        raise CannotRun(f"it was stopped, or took over {LONGEST_S} s")

    try:
        broken, why = asyncio.run(run())
    except CannotRun as err:
        print(f"could not run: {err}")
        sys.exit(2)
    except Exception as err:  # A fault of the case itself.
        import traceback

        traceback.print_exc()
        print(f"could not run: {err}")
        sys.exit(2)
    print(("broken: " if broken else "held: ") + why)
    sys.exit(BROKEN_STATUS if broken else 0)

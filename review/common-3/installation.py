"""A small installation on loopback for the cases of this review.

The processes are the project's own, started with the commands and the settings
template of the deploy folder. Workers, clients and the operator are stand-ins
that speak the platform's protocol.
"""

import asyncio
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "desk.example"
PREFIX = "/quote/"

BOUNDS = {
    "max_hold_ms": 1000,
    "grace_s": 6,
    "spread_factor": 1.5,
}


class Record:
    """Writes what was sent, answered and run, with milliseconds since begin."""

    def __init__(self, path):
        self.began = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def now(self):
        return (time.monotonic() - self.began) * 1000

    def __call__(self, who, what, **fields):
        text = " ".join(f"{key}={value}" for key, value in fields.items())
        self.file.write(f"{self.now():9.1f} {who} {what} {text}".rstrip() + "\n")
        self.file.flush()


class HttpError(Exception):
    """No complete answer."""


async def read_message(reader):
    """Reads one HTTP/1.1 message; returns first line, fields and body."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        fields[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(fields.get("content-length", "0")))
    return lines[0], fields, body


async def call(address, method, path, body=None, host=None, timeout=1.0, fields=()):
    """One HTTP call on a connection of its own; returns status and JSON."""

    async def exchange():
        ip, port = address.split(":")
        reader, writer = await asyncio.open_connection(ip, int(port))
        try:
            data = b"" if body is None else json.dumps(body).encode()
            head = f"{method} {path} HTTP/1.1\r\nHost: {host or address}\r\n"
            head += "Content-Type: application/json\r\n"
            for name, value in fields:
                head += f"{name}: {value}\r\n"
            head += f"Content-Length: {len(data)}\r\n\r\n"
            writer.write(head.encode() + data)
            await writer.drain()
            first, _, answer = await read_message(reader)
            status = int(first.split(" ")[1])
            return status, json.loads(answer) if answer else {}
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
        raise HttpError(type(error).__name__) from error


class Run:
    def __init__(self, number, duration, how, began):
        self.number = number
        self.duration = duration
        self.how = how
        self.began = began


class Worker:
    """One boot of a runner. A task's spec says how long it takes and how often
    it fails: "ms=500 fails=1"."""

    def __init__(self, installation, index, zone, address):
        self.installation = installation
        self.record = installation.record
        self.identity = f"i-{index:08x}"
        self.zone = zone
        self.address = address
        self.service = "desk"
        self.fails_left = installation.fails_left
        self.events = installation.events
        self.server = None
        self.tasks = []
        self.boot()

    def boot(self):
        self.born = int(time.time() * 1000)
        self.clock_zero = time.monotonic()
        self.fence = 0
        self.lease_end = 0
        self.running = {}
        self.finished = []
        self.last_end = 0
        self.closed = {}
        self.sequence = 0
        self.state = "ready"
        self.changed = asyncio.Event()

    def clock(self):
        return int((time.monotonic() - self.clock_zero) * 1000)

    async def start(self):
        ip, port = self.address.split(":")
        self.server = await asyncio.start_server(self.serve, ip, int(port))
        self.tasks.append(asyncio.create_task(self.beat()))
        self.tasks.append(asyncio.create_task(self.work()))

    def note(self, what, **fields):
        self.events.append((self.record.now(), self.identity, what, fields))
        self.record(self.identity, what, **fields)

    def report(self):
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": self.state,
            "cold_remaining_ms": 0,
            "capacity": {"cpu": 16000, "mem_mb": 32768, "gpus": 0},
            "labels": ["a", "r-" + self.zone],
            "clock_ms": self.clock(),
            "sequence": self.sequence,
            "born": self.born,
        }

    async def beat(self):
        addresses = self.installation.control_addresses()
        turn = random.randrange(len(addresses))
        while True:
            self.sequence += 1
            for _ in addresses:
                try:
                    path = f"/instances/{self.identity}/heartbeat"
                    status, _ = await call(
                        addresses[turn % len(addresses)], "POST", path, self.report()
                    )
                    if 200 <= status < 300:
                        break
                except HttpError:
                    pass
                turn += 1
            await asyncio.sleep(self.installation.heartbeat_ms / 1000)

    def end(self, task, how):
        run = self.running.pop(task)
        self.last_end += 1
        self.closed[task] = max(self.closed.get(task, 0), run.number)
        self.finished.append([self.last_end, task, run.number, how, ""])
        self.note("ended", task=task, run=run.number, how=how, n=self.last_end)
        self.changed.set()

    async def work(self):
        while True:
            clock = self.clock()
            if self.running and clock > self.lease_end:
                for task in list(self.running):
                    self.end(task, "lapsed")
            for task, run in list(self.running.items()):
                if clock - run.began >= run.duration:
                    self.end(task, run.how)
            await asyncio.sleep(0.005)

    async def serve(self, reader, writer):
        try:
            while True:
                first, fields, body = await read_message(reader)
                method, path, _ = first.split(" ")
                expected = fields.get("expect-instance", self.identity)
                if expected != self.identity:
                    status, answer = 421, {}
                elif method != "POST":
                    status, answer = 200, {}
                else:
                    status, answer = await self.order(path, json.loads(body))
                answer["clock_ms"] = self.clock()
                data = json.dumps(answer).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode() + data
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def order(self, path, order):
        token = order.get("fencing_token", 0)
        if token < self.fence:
            return 409, {"reason": "fence"}
        self.fence = token
        if path == "/run-start":
            return self.start_run(order)
        if path == "/run-stop":
            return self.stop_run(order)
        return await self.hold(order)

    def extend(self, deadline):
        longest = self.clock() + BOUNDS["max_hold_ms"]
        self.lease_end = max(self.lease_end, min(deadline, longest))

    def start_run(self, order):
        task, number = order["task"], order["run"]
        current = self.running.get(task)
        if current is not None and current.number == number:
            return 200, {}
        if order["deadline_ms"] <= self.clock():
            return 409, {"reason": "late"}
        self.extend(order["deadline_ms"])
        if number <= self.closed.get(task, 0) or current is not None:
            return 409, {"reason": "old"}
        spec = dict(part.split("=") for part in order["spec"].split(" "))
        job = task.split(".")[0]
        how = "done"
        if self.fails_left.setdefault(task, int(spec.get("fails", "0"))) > 0:
            self.fails_left[task] -= 1
            how = "failed"
        self.running[task] = Run(number, int(spec["ms"]), how, self.clock())
        self.note("started", job=job, task=task, run=number, fence=self.fence)
        return 200, {}

    def stop_run(self, order):
        task, number = order["task"], order["run"]
        self.note("stop-order", task=task, run=number)
        current = self.running.get(task)
        if current is not None and current.number <= number:
            self.end(task, "stopped")
        self.closed[task] = max(self.closed.get(task, 0), number)
        return 200, {}

    async def hold(self, order):
        cursor = order.get("ack_cursor", 0)
        for entry in self.finished:
            if entry[0] <= cursor:
                self.note("acknowledged", task=entry[1], run=entry[2], how=entry[3])
        self.finished = [entry for entry in self.finished if entry[0] > cursor]
        if "deadline_ms" in order:
            self.extend(order["deadline_ms"])
        wait = order.get("wait_ms", 0)
        if wait and not self.finished:
            self.changed.clear()
            try:
                await asyncio.wait_for(self.changed.wait(), wait / 1000)
            except asyncio.TimeoutError:
                pass
        clock = self.clock()
        running = []
        for task, run in self.running.items():
            percent = min(99, int(100 * (clock - run.began) / run.duration))
            running.append([task, run.number, "", percent, 1000])
        answer = {"running": running, "finished": self.finished[:500]}
        answer["born"] = self.born
        return 200, answer

    async def leave(self, drain_s):
        """Drains, serves for a time after that has been acknowledged, and ends."""
        self.state = "draining"
        self.note("draining")
        for address in self.installation.control_addresses():
            try:
                path = f"/instances/{self.identity}/heartbeat"
                self.sequence += 1
                status, _ = await call(address, "POST", path, self.report())
                if 200 <= status < 300:
                    break
            except HttpError:
                pass
        await asyncio.sleep(drain_s)
        for address in self.installation.control_addresses():
            try:
                path = f"/instances/{self.identity}/deregister"
                status, _ = await call(address, "POST", path, {})
                if 200 <= status < 300:
                    break
            except HttpError:
                pass
        self.note("left", running=len(self.running))
        self.running = {}
        await self.stop()

    async def stop(self):
        for task in self.tasks:
            task.cancel()
        if self.server is not None:
            self.server.close()


class Process:
    def __init__(self, installation, name, role, fields):
        self.installation = installation
        self.name = name
        self.role = role
        self.fields = fields
        self.ip = fields["ip"]
        self.child = None

    def start(self, bootstrap):
        self.fields["bootstrap"] = bootstrap
        folder = self.installation.folder
        settings = folder / f"{self.name}.ini"
        template = (ROOT / self.role["template"]).read_text(encoding="utf-8")
        settings.write_text(render(template, self.fields), encoding="utf-8")
        words = self.role["run"].split(" ")
        words = [str(settings) if w.startswith("/etc/") else w for w in words]
        environment = {
            "PATH": os.environ["PATH"],
            "ALMONDSPOKE_NODE_FILE": str(settings),
        }
        log = open(folder / f"{self.name}.log", "ab")
        self.child = subprocess.Popen(
            words,
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )
        log.close()

    def signal(self, number):
        self.installation.record("test", signal.Signals(number).name, to=self.name)
        if self.child.poll() is None:
            self.child.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        self.child.wait()

    def is_running(self):
        return self.child is not None and self.child.poll() is None

    def log(self):
        path = self.installation.folder / f"{self.name}.log"
        return path.read_text(encoding="utf-8", errors="replace")


def lookup(fields, name):
    value = fields
    for part in name.split("."):
        if isinstance(value, list):
            value = value[int(part)] if int(part) < len(value) else None
        else:
            value = value.get(part) if isinstance(value, dict) else None
        if value is None:
            return None
    return value


def text_of(value):
    if value is None:
        return ""
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, list):
        return ",".join(text_of(entry) for entry in value)
    return str(value)


def render(template, fields):
    """Fills in the parts of the platform's templates that the project uses."""

    def section(match):
        value = lookup(fields, match.group(1))
        if not value:
            return ""
        if not isinstance(value, dict):
            return match.group(2)
        parts = []
        for place, key in enumerate(value):
            comma = "," if place + 1 < len(value) else ""
            text = match.group(2).replace("{{@}}", key)
            parts.append(text.replace("{{,}}", comma))
        return "".join(parts)

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(
        r"\{\{([\w.]+)\}\}", lambda m: text_of(lookup(fields, m.group(1))), text
    )


def free_ports(count):
    sockets = [socket.socket() for _ in range(count)]
    for entry in sockets:
        entry.bind(("127.0.0.1", 0))
    ports = [entry.getsockname()[1] for entry in sockets]
    for entry in sockets:
        entry.close()
    return ports


class Installation:
    """The machines of the site panj-raspored: four coordinators and six gateways
    in four zones."""

    heartbeat_ms = 1500
    zones = ("zagreb", "karlovac", "varazdin", "sisak")
    gateway_zones = ("zagreb", "zagreb", "karlovac", "karlovac", "varazdin", "sisak")

    def __init__(self, record, workers=8, route=None):
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="almondspoke-review-"))
        self.events = []
        self.fails_left = {}
        # Of its own, since the port of the metrics is the same for all.
        self.net = f"127.{random.randrange(16, 240)}"
        self.block = 4 * random.randrange(62)
        self.ports = free_ports(5)
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text("utf-8"))
        roles = deploy["roles"]
        self.coordinator_role = roles["coordinator"]
        self.coordinators = [
            self.make_process("core", zone, 1, place, roles["coordinator"])
            for place, zone in enumerate(self.zones)
        ]
        self.gateways = [
            self.make_process("front", zone, 2, place, roles["gateway"])
            for place, zone in enumerate(self.gateway_zones)
        ]
        self.workers = []
        for place in range(workers):
            zone = self.zones[place % len(self.zones)]
            address = f"{self.address(3, place)}:{self.ports[4]}"
            self.workers.append(Worker(self, place + 1, zone, address))
        self.manifest = {
            "version": 7,
            "routes": [
                {
                    "name": "r-quote",
                    "host": HOST,
                    "path_prefix": PREFIX,
                    "type": "non_idempotent",
                    "timeout_ms": 1500,
                    "target_latency_ms": 60,
                    "priority": 1,
                    "service": "desk",
                    "max_attempts": 3,
                    "slack_factor": 1.6,
                    **(route or {}),
                }
            ],
            "services": [
                {
                    "name": "desk",
                    "health_check_path": "/health",
                    "max_connections": 64,
                    "protocol": "h1",
                    "tls": False,
                    "enforce_capacity": False,
                    "standby": False,
                }
            ],
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 262144,
                "header_timeout_ms": 3000,
                "idle_timeout_ms": 15000,
            },
        }

    def address(self, block, place):
        return f"{self.net}.{self.block + block}.{place + 1}"

    def make_process(self, kind, zone, block, place, role):
        ip = self.address(block, place)
        name = f"{kind}-{zone}-{place + 1}"
        listen = {}
        if "control_plane" in role["serves"]:
            listen["control_plane"] = f"{ip}:{self.ports[1]}"
        if "frontend" in role["serves"]:
            listen["frontend"] = f"{ip}:{self.ports[2]}"
            listen["readiness"] = f"{ip}:{self.ports[3]}"
        fields = {
            "node_name": name,
            "zone": zone,
            "ip": ip,
            "internal_ports": [self.ports[0], self.ports[0] + 15],
            "seeds": [
                f"{self.address(1, seed)}:{self.ports[1]}" for seed in range(3)
            ],
            "heartbeat_ms": self.heartbeat_ms,
            "zones": {zone: "kontinental" for zone in self.zones},
            "listen_addrs": listen,
            "fault_tolerance": {"machines": 1, "zones": 1, "regions": 0},
            "bounds": BOUNDS,
            "limits": {
                "memory_mb": 256 if kind == "core" else 260,
                "max_fds": 4096 if kind == "core" else 4100,
            },
        }
        if kind == "core":
            data = self.folder / f"{name}-data"
            data.mkdir()
            fields["data_dir"] = str(data)
        return Process(self, name, role, fields)

    def replace_coordinator(self, lost):
        """Starts an empty coordinator at another address in place of one that is
        lost for good; returns it."""
        place = self.coordinators.index(lost)
        next_place = len(self.coordinators)
        new = self.make_process(
            "core", lost.fields["zone"], 1, next_place, self.coordinator_role
        )
        self.coordinators[place] = new
        new.fields["seeds"] = self.control_addresses()[:3]
        new.start(bootstrap=False)
        self.record("test", "replaced", name=lost.name, by=new.name, at=new.ip)
        return new

    def processes(self):
        return self.coordinators + self.gateways

    def control_addresses(self):
        return [p.fields["listen_addrs"]["control_plane"] for p in self.coordinators]

    def frontend(self, place):
        return self.gateways[place].fields["listen_addrs"]["frontend"]

    def readiness(self, place):
        return self.gateways[place].fields["listen_addrs"]["readiness"]

    async def start(self, dying=None):
        """Starts all machines; one of them may die as it starts."""
        for process in self.processes():
            process.start(bootstrap=True)
            if process is dying:
                process.kill()
        for worker in self.workers:
            await worker.start()

    async def put_manifest(self, timeout_s):
        """Sends the manifest to one coordinator after the other until it is
        acknowledged; returns whether it was."""
        addresses = self.control_addresses()
        until = time.monotonic() + timeout_s
        turn = 0
        while time.monotonic() < until:
            address = addresses[turn % len(addresses)]
            turn += 1
            try:
                status, answer = await call(
                    address, "POST", "/config/put", self.manifest
                )
                self.record("operator", "config-put", to=address, status=status)
                if status == 200:
                    return True
            except HttpError as error:
                self.record("operator", "config-put", to=address, none=error)
            await asyncio.sleep(0.2)
        return False

    async def ready(self, timeout_s=20):
        """Waits until the manifest is in force and every gateway is ready and
        serves a short job."""
        if not await self.put_manifest(timeout_s):
            return False
        until = time.monotonic() + timeout_s
        for place in range(len(self.gateways)):
            while True:
                if time.monotonic() > until:
                    return False
                try:
                    status, _ = await call(self.readiness(place), "GET", "/readiness")
                    if status == 200 and await self.serves(place):
                        break
                except HttpError:
                    pass
                await asyncio.sleep(0.2)
        await asyncio.sleep(2)
        return True

    async def serves(self, place):
        job = {
            "spec": "ms=20",
            "best_effort": True,
            "steps": [{"count": 1, "cpu": 500, "mem_mb": 64, "estimate_ms": 20}],
        }
        status, _ = await self.post(place, new_id(), job, timeout=2)
        return status == 200

    async def client(self, place, method, identity, body=None, timeout=5.0):
        """A call of a client; a call without an answer counts as status 0."""
        address = self.frontend(place)
        self.record("client", method, job=identity, to=self.gateways[place].name)
        try:
            status, answer = await call(
                address,
                method,
                PREFIX + identity,
                body,
                HOST,
                timeout,
                [("Deadline-Ms", int(timeout * 1000))],
            )
        except HttpError as error:
            status, answer = 0, {"none": str(error)}
        self.record(
            "client",
            method + "-answer",
            job=identity,
            by=self.gateways[place].name,
            status=status,
            answer=json.dumps(answer),
        )
        return status, answer

    async def post(self, place, identity, body, timeout=5.0):
        return await self.client(place, "POST", identity, body, timeout)

    async def get(self, place, identity, timeout=1.0):
        return await self.client(place, "GET", identity, None, timeout)

    async def delete(self, place, identity, timeout=1.0):
        return await self.client(place, "DELETE", identity, None, timeout)

    def leader(self):
        """The coordinator that leads, by its own log; None if none does."""
        found = None
        for process in self.coordinators:
            if not process.is_running():
                continue
            begins = process.log().rfind("event=lead-begins")
            ends = process.log().rfind("event=lead-ends")
            if begins > ends:
                found = process
        return found

    async def stop(self):
        for worker in self.workers:
            await worker.stop()
        for process in self.processes():
            if process.is_running():
                process.child.send_signal(signal.SIGCONT)
                process.child.kill()
                process.child.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def new_id():
    return f"{random.getrandbits(64):016x}"


HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


def main(case, folder, workers=8, limit_s=110, route=None):
    """Runs a case: an async function of the installation and of whether the
    disruption is to be made, which returns one of the three results."""

    async def run():
        record = Record(pathlib.Path(folder) / "record.txt")
        installation = Installation(record, workers, route)
        with_trouble = os.environ.get("TROUBLE", "1") != "0"
        record("test", "begins", trouble=with_trouble)
        try:
            result = await asyncio.wait_for(case(installation, with_trouble), limit_s)
        except asyncio.TimeoutError:
            record("test", "time-limit")
            result = COULD_NOT_RUN
        finally:
            await installation.stop()
        words = {HELD: "held", BROKEN: "broken", COULD_NOT_RUN: "could not run"}
        record("test", "ends", rule=words[result])
        print("rule:", words[result])
        return result

    return asyncio.run(run())

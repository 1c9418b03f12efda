"""A small deployment on loopback addresses: the project's own programs as processes, and stand-ins.

The programs run with the commands of deploy/system.toml. Servers, requesters and the operator are
stand-ins that speak what the users' pages say. Only the standard library is used.
"""

import http.client
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2


def role_command(role):
    """Returns the command and environment of a role in the deploy file."""
    text = (ROOT / "deploy" / "system.toml").read_text()
    section = text.split("[roles.%s]" % role)[1].split("[roles.")[0]
    command = re.search(r'^run = "(.*)"$', section, re.M).group(1).split()
    env = dict(re.findall(r'(\w+) = "([^"]*)"', re.search(r"^env = \{(.*)\}", section, re.M).group(1)))
    return command, env


class Record:
    """Lines of what was sent, answered and run, with seconds since the start."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w")
        self.start = time.monotonic()
        self.lock = threading.Lock()

    def now(self):
        return time.monotonic() - self.start

    def write(self, text):
        with self.lock:
            self.file.write("%8.3f %s\n" % (self.now(), text))
            self.file.flush()


class Proc:
    """One process of the system."""

    def __init__(self, site, role, number, ip, zone):
        self.site, self.role, self.number, self.ip, self.zone = site, role, number, ip, zone
        self.name = "%s-%d" % (role, number)
        self.settings = site.folder / (self.name + ".yaml")
        self.seeds = None  # addresses in the settings; the first three control VMs if not set
        self.data = site.folder / ("data-%d" % number) if role == "control" else None
        if self.data:
            self.data.mkdir()
        self.log = site.folder / (self.name + ".log")
        self.process = None

    def write_settings(self, bootstrap):
        s = self.site
        listen = (
            '  control: "%s:%d"' % (self.ip, s.control_port)
            if self.role == "control"
            else '  front: "%s:%d"\n  ready: "%s:%d"' % (self.ip, s.front_port, self.ip, s.ready_port)
        )
        text = """node: "%s"
role: "%s"
machine_class: "%s"
ip: "%s"
zone: "%s"
region: "r"
zones:
  a: "r"
listen:
%s
inner_port_range:
  - %d
  - %d
seeds:
%s
bootstrap: %s
in_tolerance: %s
limits:
  cpu_share: 0.75
  cores: 1
  memory_mb: 430
  max_fds: 4100
  link_mbps: 1000.0
  disk_mb: %d
data_dir: %s
discovery: "registration"
entry: "virtual_ip"
beat_interval_ms: 1000
fault_tolerance:
  machines: %d
  zones: 0
  regions: 0
bounds:
%s
config_mode: "highest"
""" % (
            self.name,
            self.role,
            "core" if self.data else "front",
            self.ip,
            self.zone,
            listen,
            s.inner_port,
            s.inner_port + 15,
            "\n".join('  - "%s:%d"' % (c, s.control_port) for c in self.seeds or s.control_ips[:3]),
            "true" if bootstrap and self.data else "false",
            "true" if self.data else "false",
            128 if self.data else 0,
            '"%s"' % self.data if self.data else "null",
            s.tolerated,
            "\n".join("  %s: %s" % item for item in s.bounds.items()),
        )
        part = self.settings.with_suffix(".part")
        part.write_text(text)
        part.replace(self.settings)

    def start(self):
        command, env = role_command(self.role)
        variables = {k: os.environ[k] for k in ("PATH", "HOME", "JAVA_HOME", "LANG") if k in os.environ}
        variables.update(env)
        variables["CLEMENTINESAIL_SETTINGS"] = str(self.settings)
        with open(self.log, "ab") as out:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=variables, stdin=subprocess.DEVNULL, stdout=out, stderr=out
            )

    def signal(self, number):
        if self.process and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        if self.process:
            self.process.wait()

    def lose_disk(self):
        """Empties the data folder of a process that has ended."""
        shutil.rmtree(self.data)
        self.data.mkdir()

    def roles(self):
        """Returns the roles that the process has logged, such as "leader of [a, b]"."""
        return re.findall(r'"event":"role","role":"([^"]*)"', self.log.read_text())


class Site:
    """Control and entry processes on a loopback network of their own."""

    BOUNDS = {
        "seed_lag_s": 3, "reuse_after_s": 2, "contact_window_ms": 3000, "ack_ms": 4000,
        "catch_up_s": 4, "drain_ms": 2000, "grace_s": 8, "loss_slack_ms": 200,
        "config_apply_ms": 2000, "rollback_slack_ms": 250, "outer_bound_ms": 5000,
        "retry_budget_ratio": 0.2, "budget_window_s": 10, "retry_budget_slack": 198,
        "recover_s": 12, "pass_ms": 120, "retry_after_s": 0, "stall_ms": 2000,
    }

    def __init__(self, folder, controls=3, entries=2, tolerated=1, **bounds):
        self.record = Record(folder)
        self.tolerated = tolerated  # machines of the core that may be lost at once
        self.bounds = dict(self.BOUNDS, **bounds)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.control_port, self.front_port, self.ready_port = 21329, 21327, 21320
        self.inner_port, self.server_port = 21340, 21360
        for _ in range(200):
            self.net = "127.%d.%d" % (random.randint(10, 250), random.randint(1, 250))
            if self.is_free():
                break
        self.control_ips = [self.ip(10 + i) for i in range(controls)]
        self.controls = [Proc(self, "control", i, ip, "a") for i, ip in enumerate(self.control_ips)]
        self.entries = [Proc(self, "entry", i, self.ip(50 + i), "a") for i in range(entries)]
        self.stopping = threading.Event()
        self.servers = []

    def ip(self, host):
        return "%s.%d" % (self.net, host)

    def is_free(self):
        try:
            for host in (10, 50, 100):
                for port in (self.control_port, self.front_port, self.inner_port, self.server_port):
                    with socket.socket() as s:
                        s.bind((self.ip(host), port))
            return True
        except OSError:
            return False

    def add_control(self, seeds):
        """Starts one more control VM at a new address, with an empty disk."""
        number = len(self.controls)
        ip = self.ip(10 + number)
        self.controls.append(Proc(self, "control", number, ip, "a"))
        self.control_ips.append(ip)
        self.controls[-1].seeds = seeds
        self.controls[-1].write_settings(False)
        self.controls[-1].start()
        return self.controls[-1]

    def all(self):
        return self.controls + self.entries

    def start(self):
        for p in self.all():
            p.write_settings(True)
            p.start()

    def end(self):
        self.stopping.set()
        for p in self.all():
            p.kill()
        for s in self.servers:
            s.stop()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            for p in self.all():
                shutil.copy(p.log, pathlib.Path(keep) / p.log.name)
        shutil.rmtree(self.folder, ignore_errors=True)

    # The operator.

    def call_control(self, method, path, body=None, first=None, timeout=2.0):
        """Makes one call and follows a redirect twice; returns status and body, 0 without answer."""
        host = first if first else random.choice(self.control_ips)
        port = self.control_port
        for _ in range(3):
            try:
                connection = http.client.HTTPConnection(host, port, timeout=timeout)
                headers = {"Content-Type": "application/json"} if body is not None else {}
                connection.request(method, path, body, headers)
                response = connection.getresponse()
                data = response.read()
                connection.close()
            except (OSError, http.client.HTTPException):
                return 0, b""
            if response.status != 307:
                return response.status, data
            place = re.match(r"http://([0-9.]+):([0-9]+)", response.headers["Location"])
            host, port = place.group(1), int(place.group(2))
        return 307, b""

    def put(self, state, wait_s=30):
        """Sends a desired state until it is acknowledged; returns the time of the confirmation."""
        body = json.dumps(state).encode()
        end = time.monotonic() + wait_s
        while time.monotonic() < end:
            status, _ = self.call_control("POST", "/-/Config.Put", body)
            if status == 200:
                self.record.write("version %d acknowledged" % state["version"])
                return self.record.now()
            if status in (400, 409, 412, 413, 422):
                raise AssertionError("version refused with %d" % status)
            time.sleep(0.2)
        raise NotReady("no confirmation of version %d" % state["version"])

    def await_ready(self, number, wait_s=30):
        end = time.monotonic() + wait_s
        while time.monotonic() < end:
            try:
                c = http.client.HTTPConnection(self.entries[number].ip, self.ready_port, timeout=1)
                c.request("GET", "/-/readiness")
                status = c.getresponse().status
                c.close()
                if status == 200:
                    return
            except (OSError, http.client.HTTPException):
                pass
            time.sleep(0.1)
        raise NotReady("entry %d is not ready" % number)


class NotReady(Exception):
    """The deployment did not come up, so that the case could not run."""


def read_head(stream):
    """Reads a head; returns its first line and headers in lower case, or None at the end."""
    first = stream.readline()
    if not first:
        return None
    headers = {}
    while True:
        line = stream.readline()
        if not line:
            return None
        if line in (b"\r\n", b"\n"):
            return first.decode("latin-1").strip(), headers
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()


class Server:
    """A server of a plain service: registers, answers health checks, and runs requests.

    `run(server, request_line, headers, reply)` is called for a request; it returns the body of a
    200, or raises Crash to end the server without an answer.
    """

    def __init__(self, site, number, service, run, slots=50, version=0):
        self.site, self.service, self.run, self.slots = site, service, run, slots
        self.ip, self.port = site.ip(100 + number), site.server_port
        self.id = "i-%d-%d" % (number, version)
        self.number, self.lives = number, version
        self.state, self.alive, self.seq = "ready", False, 0
        self.running = 0  # for the use of `run`
        self.connections, self.lock = set(), threading.Lock()
        site.servers.append(self)
        self.start()

    def address(self):
        return "%s:%d" % (self.ip, self.port)

    def start(self):
        self.born, self.seq, self.state = int(time.time() * 1000), 0, "ready"
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((self.ip, self.port))
        listener.listen(256)
        self.listener, self.alive = listener, True
        threading.Thread(target=self.accept, args=(listener,), daemon=True).start()
        threading.Thread(target=self.beat, args=(self.born,), daemon=True).start()

    def stop(self):
        """Ends like a crashed process: all its connections and its listener close."""
        with self.lock:
            self.alive = False
            open_now = list(self.connections)
            self.connections.clear()
        try:
            self.listener.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self.listener.close()
        for c in open_now:
            try:
                c.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def crash(self, down_s):
        """Crashes, and starts again with a new id."""
        self.stop()

        def again():
            time.sleep(down_s)
            if not self.site.stopping.is_set():
                self.lives += 1
                self.id = "i-%d-%d" % (self.number, self.lives)
                self.start()

        threading.Thread(target=again, daemon=True).start()

    def statement(self):
        return {
            "service": self.service, "address": self.address(), "zone": "a", "version": "v1",
            "slots": self.slots, "state": self.state, "cold_left_ms": 0, "seq": self.seq,
            "born": self.born,
        }

    def beat(self, born):
        control = random.randrange(len(self.site.control_ips))
        while self.alive and self.born == born and not self.site.stopping.is_set():
            self.seq += 1
            body = json.dumps(self.statement()).encode()
            for _ in range(len(self.site.control_ips)):
                ip = self.site.control_ips[control]
                status, _ = self.site.call_control(
                    "POST", "/-/Instances.Heartbeat/" + self.id, body, ip, 1.0)
                if 200 <= status < 300:
                    break
                control = (control + 1) % len(self.site.control_ips)
            time.sleep(1.0)

    def accept(self, listener):
        while self.alive:
            try:
                connection, _ = listener.accept()
            except OSError:
                return
            with self.lock:
                if not self.alive:
                    connection.close()
                    return
                self.connections.add(connection)
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection):
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        stream = connection.makefile("rb")
        try:
            while self.alive:
                head = read_head(stream)
                if head is None:
                    return
                line, headers = head
                body = self.read_body(stream, headers)
                if not self.answer(connection, line, headers, body):
                    return
        except OSError:
            pass
        finally:
            with self.lock:
                self.connections.discard(connection)
            stream.close()
            connection.close()

    @staticmethod
    def read_body(stream, headers):
        return stream.read(int(headers.get("content-length", "0")))

    def send(self, connection, status, headers, body):
        lines = ["HTTP/1.1 " + status] + ["%s: %s" % h for h in headers.items()]
        lines += ["Content-Length: %d" % len(body), "Keep-Alive: timeout=20", "", ""]
        connection.sendall("\r\n".join(lines).encode() + body)

    def answer(self, connection, line, headers, body):
        method, path, _ = line.split(" ", 2)
        rid = headers.get("request-id", "")
        if path == "/health":
            self.send(connection, "200 OK", {"Instance-Id": self.id}, b"")
            return True
        if headers.get("expect-instance", self.id) != self.id:
            self.send(connection, "421 Misdirected Request", {"Request-Id": rid, "Not-Run": "1"}, b"")
            return True
        self.site.record.write("run %s %s on %s" % (rid, path, self.id))
        result = self.run(self, connection, path, headers, body)
        if result is None:
            return False
        if result is True:
            return True
        stamp = "%s.%s" % (self.id, rid)
        self.send(connection, "200 OK", {"Request-Id": rid, "Server-Stamp": stamp}, result)
        return True


class Engine(Server):
    """A model server that can hold all layers: takes orders, gives reports, and may fall silent."""

    LAYERS = 4
    MODEL = [{"name": "m", "version": 1, "adapters": []}]

    def __init__(self, site, number, service, run):
        self.layers, self.orders = {"from": 0, "to": 0, "version": 1}, 0
        self.awake = threading.Event()
        self.awake.set()
        self.streams = 0
        super().__init__(site, number, service, run, slots=134)

    def kv_total(self):
        """Returns the memory for requests, in tokens x layers."""
        return 1000000

    def fall_silent(self, seconds):
        """The whole server pauses and goes on; nothing is lost."""

        def go_on():
            time.sleep(seconds)
            self.site.record.write("%s goes on" % self.id)
            self.awake.set()

        self.site.record.write("%s falls silent for %.1f s" % (self.id, seconds))
        self.awake.clear()
        threading.Thread(target=go_on, daemon=True).start()

    def statement(self):
        self.awake.wait()
        return dict(super().statement(), stage="colocated", kind="k", models=self.MODEL, layers=self.layers)

    def answer(self, connection, line, headers, body):
        self.awake.wait()
        method, path, _ = line.split(" ", 2)
        if path == "/-/report":
            report = {
                "stage": "colocated", "models": self.MODEL, "layers": self.layers, "busy": False,
                "seq": self.orders, "waiting": 0, "running": self.streams,
                "kv_used": self.streams * 100 * (self.layers["to"] - self.layers["from"]),
                "kv_total": self.kv_total(), "handles": 0, "pace": 1.0, "stalled": [],
            }
            self.send(connection, "200 OK", {"Content-Type": "application/json"}, json.dumps(report).encode())
            return True
        if path == "/-/order":
            order = json.loads(body)
            if order.get("expected", self.orders) != self.orders:
                self.send(connection, "409 Conflict", {}, b"")
                return True
            self.orders += 1
            self.layers = {"from": order["from"], "to": order["to"], "version": 1}
            self.send(connection, "202 Accepted", {}, b"")
            return True
        wanted = "%s=0-%d" % (self.address(), self.LAYERS)
        if path != "/health" and (
                headers.get("hop-count", wanted) != wanted or self.layers["to"] != self.LAYERS):
            self.send(connection, "421 Misdirected Request",
                      {"Request-Id": headers.get("request-id", ""), "Not-Run": "1",
                       "At-Server": self.address()}, b"")
            return True
        return super().answer(connection, line, headers, body)

    @classmethod
    def model(cls):
        """Returns the `engine` of a service of such servers."""
        return {
            "slots": 134, "kv_capacity": 100000, "kv_token_bytes": 1000, "link_mbps": 10000.0, "stride": 1,
            "models": [{"name": "m", "pace": 1.0, "load_s": 0.1, "warm_s": 0.1}], "step_ms": 1.0,
            "per_seq_ms": 0.01, "context_per_k": 0.01, "read_per_s": 100000.0, "pairs_per_m": 0.1,
            "chunk": 512, "report_lag_ms": 200.0, "loads_per_s": 0.0, "loads_at_once": 5, "delays": [],
            "usual": {"prompt": 50, "answer": 50}, "layers": cls.LAYERS, "layer_mb": 100.0,
            "activation_bytes": 1000, "pipe_mbps": 10000.0,
            "kinds": [{"name": "k", "mb": 8000.0, "pace": 1.0, "read_x": 1.0}],
        }


class Requester:
    """A requester that keeps one channel; returns (status, headers, body), status 0 if it closed."""

    def __init__(self, site, number):
        self.site, self.number = site, number
        self.socket = None
        self.stream = None

    def close(self):
        if self.socket:
            self.stream.close()
            self.socket.close()
            self.socket = None

    def call(self, rid, path, method="GET", host="shop.example", deadline_ms=2000, body=b"", extra=None,
             wait_s=None):
        lines = ["%s %s HTTP/1.1" % (method, path), "Host: " + host, "Request-Id: " + rid,
                 "Deadline-Ms: %d" % deadline_ms]
        lines += ["%s: %s" % h for h in (extra or {}).items()]
        if body or method == "POST":
            lines.append("Content-Length: %d" % len(body))
        try:
            if self.socket is None:
                self.socket = socket.create_connection(
                    (self.site.entries[self.number].ip, self.site.front_port), 1.0)
                self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                self.stream = self.socket.makefile("rb")
            self.socket.settimeout(wait_s if wait_s else deadline_ms / 1000 + 1)
            self.socket.sendall(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            head = read_head(self.stream)
            if head is None:
                self.close()
                return 0, {}, b"closed"
            line, headers = head
            if headers.get("transfer-encoding", "").lower() == "chunked":
                data = self.read_chunks()
            else:
                data = self.stream.read(int(headers.get("content-length", "0")))
            status = int(line.split(" ")[1])
            if data is None:
                self.close()
                return 0, headers, b"broken off"
            if headers.get("connection", "").lower() == "close":
                self.close()
            return status, headers, data
        except OSError as error:
            self.close()
            return 0, {}, repr(error).encode()

    def read_chunks(self):
        data = b""
        while True:
            size = self.stream.readline()
            if not size.strip():
                return None
            length = int(size, 16)
            data += self.stream.read(length)
            if not self.stream.readline():
                return None
            if length == 0:
                return data


def route(name, prefix, service, kind="idempotent", **more):
    entry = {
        "name": name, "host": "shop.example", "path_prefix": prefix, "kind": kind,
        "timeout_ms": 2000, "target_latency_ms": 500, "priority": 1, "service": service,
        "max_attempts": 2, "public": True, "sticky": False,
    }
    entry.update(more)
    return entry


def desired(version, routes, services, engines=()):
    listed = [
        {"name": s, "health_path": "/health", "conn_limit": 1000, "protocol": "h1", "tls": False}
        for s in list(services) + list(engines)
    ]
    for service in listed:
        if service["name"] in engines:
            service["engine"] = Engine.model()
    return {
        "version": version, "routes": routes, "services": listed,
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                   "idle_timeout_ms": 15000},
        "tenants": [],
    }


def play(folder, case):
    """Runs a case, ends all processes and exits with its result."""
    site_box = []
    result = NOT_RUN
    try:
        result = case(site_box)
    except Exception as error:  # whatever keeps the case from running is no result
        print("the case could not run: %r" % error)
        if site_box:
            site_box[0].record.write("could not run: %r" % error)
    finally:
        if site_box:
            site_box[0].end()
    print({HELD: "held", BROKEN: "BROKEN", NOT_RUN: "could not run"}[result])
    sys.stdout.flush()
    os._exit(result)

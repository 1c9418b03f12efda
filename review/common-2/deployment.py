"""Starts a small deployment on loopback addresses for the cases of the second review.

Each VM has an address of its own in 127.0.0.0/8 and the same ports, as in the deployments. The
processes are started with the commands and the environment of deploy/system.toml. Stand-ins for
the operator, servers and requesters speak what PROTOCOL.md says.
"""

import atexit
import http.client
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

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
CANNOT_RUN = 2
START_LIMIT_S = 15

# Bounds of the small deployments (sheet of foldnet-wales).
BOUNDS = {
    "seed_lag_s": 3, "reuse_after_s": 2, "contact_window_ms": 3000, "ack_ms": 4000,
    "catch_up_s": 4, "drain_ms": 2000, "grace_s": 8, "loss_slack_ms": 200,
    "config_apply_ms": 2000, "rollback_slack_ms": 250, "outer_bound_ms": 5000,
    "revoke_strict": "false", "revoke_ms": 5000, "retry_budget_ratio": 0.2,
    "budget_window_s": 10, "retry_budget_slack": 198, "recover_s": 12, "pass_ms": 120,
    "retry_after_s": 0, "stall_ms": 2000, "fence_required": "false",
}


# What differs at foldnet-wales-large, which has five control VMs.
LARGE_BOUNDS = dict(
    BOUNDS, contact_window_ms=5000, ack_ms=6000, catch_up_s=6, drain_ms=3000,
    config_apply_ms=3000, outer_bound_ms=8000, recover_s=15, retry_budget_slack=366, pass_ms=200)


class Record:
    """Writes what happens to record.txt, with the time since the start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.started = time.monotonic()
        self.lock = threading.Lock()

    def now(self):
        return time.monotonic() - self.started

    def write(self, text):
        with self.lock:
            line = f"{self.now():8.3f}  {text}"
            self.file.write(line + "\n")
            self.file.flush()
            print(line, flush=True)


class Process:
    """One process of the deployment."""

    def __init__(self, site, role, name, ip, zone, bootstrap):
        self.site, self.role, self.name, self.ip, self.zone = site, role, name, ip, zone
        self.settings = os.path.join(site.folder, name + ".yaml")
        self.log = os.path.join(site.folder, name + ".log")
        self.data = os.path.join(site.folder, "data-" + name) if role == "control" else None
        if self.data:
            os.mkdir(self.data)
        self.process = None
        self.write_settings(bootstrap)

    def write_settings(self, bootstrap):
        control = self.role == "control"
        lines = [
            f'node: "{self.name}"', f'role: "{self.role}"',
            f'machine_class: "{"core" if control else "front"}"',
            "serves:", f'  - "{"control" if control else "front"}"',
            f'ip: "{self.ip}"', f'zone: "{self.zone}"', 'region: "r"', "zones:",
            '  a: "r"', '  b: "r"', '  c: "r"', "listen:"]
        if control:
            lines.append(f'  control: "{self.ip}:{self.site.control_port}"')
        else:
            lines.append(f'  front: "{self.ip}:{self.site.front_port}"')
            lines.append(f'  ready: "{self.ip}:{self.site.ready_port}"')
        lines += [
            "inner_port_range:", f"  - {self.site.inner_port}", f"  - {self.site.inner_port + 15}",
            "seeds:"]
        lines += [f'  - "{ip}:{self.site.control_port}"' for ip in self.site.seeds]
        lines += [
            f"bootstrap: {'true' if bootstrap else 'false'}",
            f"in_tolerance: {'true' if control else 'false'}", "limits:",
            f"  cpu_share: {0.225 if control else 0.75}", "  cores: 1",
            f"  memory_mb: {426 if control else 430}", f"  max_fds: {4096 if control else 4100}",
            f"  link_mbps: {170.0 if control else 1000.0}", f"  disk_mb: {128 if control else 0}",
            f'data_dir: {json.dumps(self.data)}', 'discovery: "registration"',
            'entry: "virtual_ip"', f"beat_interval_ms: {self.site.beat_ms}", "contracts:"]
        lines += [f'  - "{c}"' for c in (
            "base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants",
            "layers")]
        lines += ["fault_tolerance:", f"  machines: {self.site.tolerance}", "  zones: 0",
                  "  regions: 0", "bounds:"]
        lines += [f"  {key}: {value}" for key, value in self.site.bounds.items()]
        with open(self.settings + ".new", "w", encoding="utf-8") as file:
            file.write("\n".join(lines) + "\n")
        os.replace(self.settings + ".new", self.settings)

    def start(self):
        role = self.site.roles[self.role]
        env = {k: os.environ[k] for k in ("PATH", "HOME", "JAVA_HOME", "LANG") if k in os.environ}
        env.update(role.get("env", {}))
        env["CLEMENTINESAIL_SETTINGS"] = self.settings
        with open(self.log, "a", encoding="utf-8") as log:
            self.process = subprocess.Popen(
                role["run"].split(" "), cwd=ROOT, env=env, stdin=subprocess.DEVNULL, stdout=log,
                stderr=subprocess.STDOUT, start_new_session=True)

    def logged(self, text):
        with open(self.log, encoding="utf-8") as file:
            return text in file.read()

    def alive(self):
        return self.process is not None and self.process.poll() is None

    def send(self, number):
        if self.alive():
            self.process.send_signal(number)

    def kill(self):
        self.send(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    def terminate(self, grace_s):
        """SIGTERM, and SIGKILL after the grace period, as the provider does."""
        self.send(signal.SIGTERM)
        try:
            self.process.wait(grace_s)
        except subprocess.TimeoutExpired:
            self.kill()


class Site:
    """A deployment: its addresses, ports and processes."""

    def __init__(self, controls, entries, beat_ms=1200, bounds=None, tolerance=1):
        self.bounds, self.tolerance = bounds or BOUNDS, tolerance
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            self.roles = tomllib.load(file)["roles"]
        if not os.path.exists(os.path.join(ROOT, "target", "clementinesail.jar")):
            print("target/clementinesail.jar is missing: run the build of the deploy file")
            sys.exit(CANNOT_RUN)
        self.beat_ms = beat_ms
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.processes = []
        self.servers = []
        atexit.register(self.close)
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            signal.signal(number, lambda *_: sys.exit(CANNOT_RUN))
        self.choose_addresses()
        self.seeds = [self.control_ip(i) for i in range(min(3, controls))]
        self.controls = [self.add_control(i, True) for i in range(controls)]
        self.entries = [self.add("entry", f"entry-{i}", self.entry_ip(i), i) for i in range(entries)]

    def choose_addresses(self):
        for _ in range(50):
            self.block = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}."
            base = random.randint(11000, 30000)
            self.control_port, self.front_port, self.ready_port = base, base + 1, base + 2
            self.server_port, self.inner_port = base + 3, base + 10
            if all(self.free(port) for port in range(base, base + 26)):
                return
        print("no free ports")
        sys.exit(CANNOT_RUN)

    def free(self, port):
        for address in ("0.0.0.0", self.block + "11"):
            with socket.socket() as probe:
                probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                try:
                    probe.bind((address if address != "0.0.0.0" else "127.0.0.1", port))
                except OSError:
                    return False
        return True

    def control_ip(self, number):
        return self.block + str(11 + number)

    def entry_ip(self, number):
        return self.block + str(31 + number)

    def server_ip(self, number):
        return self.block + str(101 + number)

    def add(self, role, name, ip, number, bootstrap=False):
        process = Process(self, role, name, ip, "abc"[number % 3], bootstrap)
        self.processes.append(process)
        return process

    def add_control(self, number, bootstrap):
        return self.add("control", f"control-{number}", self.control_ip(number), number, bootstrap)

    def start(self):
        """Starts all processes; only this first time the control VMs may form a cluster."""
        for process in self.processes:
            process.start()

    def await_started(self, processes):
        """Waits until the processes have read their settings: their logs say that they started."""
        end = time.monotonic() + START_LIMIT_S
        while not all(process.logged('"event":"started"') for process in processes):
            if time.monotonic() > end:
                print("a process has not started in time")
                sys.exit(CANNOT_RUN)
            time.sleep(0.005)

    def end_bootstrap(self):
        """Changes the settings files once all processes have read them."""
        self.await_started(self.processes)
        for process in self.processes:
            process.write_settings(False)

    def close(self):
        for process in self.processes:
            process.kill()
        for server in self.servers:
            server.close()
        if os.environ.get("KEEP") != "1":
            shutil.rmtree(self.folder, ignore_errors=True)
        else:
            print("kept", self.folder)


def call(ip, port, method, path, body=None, timeout=1.0, headers=None):
    """One call; returns status, headers and body, or the error as status 0."""
    connection = http.client.HTTPConnection(ip, port, timeout=timeout)
    try:
        data = None if body is None else json.dumps(body).encode()
        sent = {"Content-Type": "application/json"} if data is not None else {}
        sent.update(headers or {})
        connection.request(method, path, data, sent)
        response = connection.getresponse()
        return response.status, dict(response.getheaders()), response.read()
    except (OSError, http.client.HTTPException) as error:
        return 0, {}, repr(error).encode()
    finally:
        connection.close()


def follow(site, ip, method, path, body=None, timeout=1.0):
    """A call that follows a 307 twice; returns the address that answered, status and body."""
    port = site.control_port
    for _ in range(3):
        status, headers, answer = call(ip, port, method, path, body, timeout)
        if status != 307:
            return ip, status, answer
        place = headers.get("Location") or headers.get("location")
        host = place.split("//", 1)[1].split("/", 1)[0]
        ip, port = host.rsplit(":", 1)[0], int(host.rsplit(":", 1)[1])
    return ip, 307, b""


class Operator:
    """Sends desired states, to one control VM after the other until one acknowledges."""

    def __init__(self, site, record):
        self.site, self.record = site, record

    def put(self, document, nodes, limit_s):
        """Returns the address that acknowledged, or None after the time limit."""
        end = time.monotonic() + limit_s
        pause = 0.1
        while time.monotonic() < end:
            for ip in nodes:
                answered, status, answer = follow(
                    self.site, ip, "POST", "/-/Config.Put", document)
                if status == 200:
                    self.record.write(
                        f"operator: version {document['version']} acknowledged by {answered}")
                    return answered
                if status in (400, 409, 412, 413, 422):
                    self.record.write(
                        f"operator: version {document['version']} refused with {status} by "
                        f"{answered}")
                    return None
            time.sleep(pause)
            pause = min(0.5, pause * 1.5)
        self.record.write(f"operator: version {document['version']} was not acknowledged")
        return None

    def get(self, ip):
        """Reads the desired state at one node; returns status and version."""
        answered, status, answer = follow(self.site, ip, "GET", "/-/Config.Get")
        version = json.loads(answer)["version"] if status == 200 else None
        return answered, status, version


class Server:
    """A server as a process of its own, so that it can be killed; each start is a new lifetime."""

    def __init__(self, site, number, service, **settings):
        self.site, self.number, self.service, self.settings = site, number, service, settings
        self.ip = settings.pop("ip", None) or site.server_ip(number)
        self.zone = "abc"[number % 3]
        self.starts = 0
        self.process = None
        self.id = None
        self.log = os.path.join(site.folder, f"server-{number}.log")
        site.servers.append(self)

    def start(self):
        self.starts += 1
        self.id = f"i-{self.service}-{self.number}-{self.starts}"
        config = {
            "id": self.id, "service": self.service, "ip": self.ip, "port": self.site.server_port,
            "zone": self.zone, "kind": None, "layers": 0, "first_ms": 20, "events": 0, "gap_ms": 50,
            "slots": 134, "beat_ms": self.site.beat_ms, "log": self.log,
            "controls": [f"{p.ip}:{self.site.control_port}" for p in self.site.controls]}
        config.update(self.settings)
        path = os.path.join(self.site.folder, f"server-{self.number}.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(config, file)
        engine = os.path.join(os.path.dirname(os.path.abspath(__file__)), "engine.py")
        self.process = subprocess.Popen(
            [sys.executable, "-B", engine, path], stdin=subprocess.DEVNULL, start_new_session=True)

    def kill(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    def close(self):
        self.kill()

    def events(self):
        """Returns what the server has logged."""
        if not os.path.exists(self.log):
            return []
        with open(self.log, encoding="utf-8") as file:
            return [json.loads(line) for line in file if line.endswith("\n")]

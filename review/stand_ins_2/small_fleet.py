"""A small deployment on loopback addresses for the scripts of this review: the deployed program, started with the
commands of the deploy file and the templates of its settings, and stand-ins of the operator, the servers and clients.

Every process and every server has a loopback address of its own. Only processes that were started here are ended.
"""

import http.client
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PEER_PORT, RELAY_PORT, CONTROL_PORT, CALLER_PORT, READY_PORT, SERVER_PORT = 7340, 7341, 8229, 8227, 8220, 9000
ZONES = ["north", "south", "west"]
BOUNDS = {"contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2000, "grace_s": 8, "loss_slack_ms": 200,
          "config_apply_ms": 2000, "revoke_ms": 5000, "retry_ratio": 0.2, "retry_window_s": 10, "retry_slack": 136,
          "recover_s": 12, "pass_ms": 120, "stall_ms": 5000, "ceiling_window_s": 5, "origin_overrun": 1.1}


class CannotRun(Exception):
    pass


def fill_template(text, fields):
    """Fills the gaps of a settings template as the platform does."""

    def look_up(path, scopes):
        if path in (".", "@", ","):
            return scopes[-1].get(path)
        for scope in reversed(scopes):
            value = scope
            for part in path.split("."):
                if isinstance(value, list):
                    value = value[int(part)] if int(part) < len(value) else None
                elif isinstance(value, dict):
                    value = value.get(part)
                else:
                    value = None
            if value is not None:
                return value
        return None

    def as_text(value):
        if value is None:
            return ""
        if isinstance(value, list):
            return ",".join(as_text(item) for item in value)
        if isinstance(value, (bool, dict)):
            return json.dumps(value)
        return str(value)

    def render(piece, scopes):
        result = ""
        while True:
            match = re.search(r"\{\{([#^]?)([^{}]+)\}\}", piece)
            if not match:
                return result + piece
            result += piece[:match.start()]
            kind, name = match.groups()
            piece = piece[match.end():]
            value = look_up(name, scopes)
            if not kind:
                result += as_text(value)
                continue
            end = piece.index("{{/" + name + "}}")
            inner, piece = piece[:end], piece[end + len(name) + 5:]
            if kind == "^":
                result += "" if value else render(inner, scopes)
            elif isinstance(value, (list, dict)):
                items = list(value.items()) if isinstance(value, dict) else list(enumerate(value))
                for number, (key, item) in enumerate(items):
                    scope = dict(item) if isinstance(item, dict) else {}
                    scope.update({".": item, "@": key, ",": "," if number + 1 < len(items) else ""})
                    result += render(inner, scopes + [scope])
            elif value:
                result += render(inner, scopes)

    return render(text, [fields])


class Record:
    """The record of a run: what was sent, answered and run, with seconds since its start."""

    def __init__(self, path):
        self._file = open(path, "w")
        self._lock = threading.Lock()
        self.start = time.monotonic()

    def add(self, text):
        with self._lock:
            self._file.write(f"{time.monotonic() - self.start:8.3f}  {text}\n")
            self._file.flush()


class SmallFleet:
    """Control replicas c1 to c5 and entries e1, e2, ... of one deployment."""

    def __init__(self, record, entries=1, controls=5):
        self.record = record
        number = os.getpid()
        self.prefix = f"127.{100 + number // 250 % 100}.{1 + number % 250}."
        self.folder = tempfile.mkdtemp(prefix="review-fleet-")
        self.controls = [f"c{number}" for number in range(1, controls + 1)]
        self.entries = [f"e{number}" for number in range(1, entries + 1)]
        self.processes = {}
        self._logs = {}
        self.program = os.path.join(ROOT, "target", "larchlever")
        if not os.path.exists(self.program):
            raise CannotRun("target/larchlever is missing; run the build of the deploy file")

    def address(self, node):
        return self.prefix + str(int(node[1:]) + {"c": 0, "e": 50, "s": 100}[node[0]])

    def write_settings(self, node, bootstrap):
        is_control = node[0] == "c"
        address = self.address(node)
        fields = {
            "node_name": node, "zone": ZONES[(int(node[1:]) - 1) % 3], "region": "home", "ip": address,
            "zones": {zone: "home" for zone in ZONES},
            "listen": {"control_plane": f"{address}:{CONTROL_PORT}"} if is_control else
                      {"frontend": f"{address}:{CALLER_PORT}", "ready": f"{address}:{READY_PORT}"},
            "internal_ports": [PEER_PORT, PEER_PORT + 15],
            "seeds": [f"{self.address(seed)}:{CONTROL_PORT}" for seed in self.controls[:3]],
            "bootstrap": bootstrap, "data_dir": os.path.join(self.folder, "data-" + node) if is_control else None,
            "heartbeat_ms": 1200, "fault_tolerance": {"machines": 2, "zones": 0, "regions": 0}, "bounds": BOUNDS}
        template = "platform/control.ini" if is_control else "platform/entry.ini"
        with open(os.path.join(ROOT, template)) as file:
            text = fill_template(file.read(), fields)
        path = os.path.join(self.folder, node + ".ini")
        with open(path, "w") as file:
            file.write(text)
        return path

    def start(self, node, bootstrap):
        settings = self.write_settings(node, bootstrap)
        if node[0] == "c":
            os.makedirs(os.path.join(self.folder, "data-" + node), exist_ok=True)
        log = open(os.path.join(self.folder, node + ".log"), "a")
        environment = {"PATH": os.environ["PATH"], "LARCHLEVER_CONFIG": settings}
        # The command of both roles in deploy/system.toml.
        self.processes[node] = subprocess.Popen([self.program, "fleet-node"], cwd=ROOT, env=environment, stdout=log,
                                                stderr=subprocess.STDOUT)
        log.close()
        self.record.add(f"{node} started, bootstrap {'true' if bootstrap else 'false'}")

    def kill(self, node):
        process = self.processes.pop(node)
        process.send_signal(signal.SIGKILL)
        process.wait()
        self.record.add(f"{node} killed")

    def terminate(self, node):
        process = self.processes.pop(node)
        process.send_signal(signal.SIGTERM)
        try:
            process.wait(BOUNDS["grace_s"])
        except subprocess.TimeoutExpired:
            process.send_signal(signal.SIGKILL)
            process.wait()
        self.record.add(f"{node} stopped by SIGTERM")

    def log(self, node):
        with open(os.path.join(self.folder, node + ".log")) as file:
            return file.read()

    def stop(self):
        for process in self.processes.values():
            process.send_signal(signal.SIGKILL)
        for process in self.processes.values():
            process.wait()
        self.processes.clear()
        if os.environ.get("KEEP_LOGS") != "1":
            shutil.rmtree(self.folder, ignore_errors=True)

    def call_control(self, node, method, path, body=None, timeout=1.0):
        """Calls a control replica; returns its status, or 0 without an answer, and the body."""
        try:
            connection = http.client.HTTPConnection(self.address(node), CONTROL_PORT, timeout=timeout)
            connection.request(method, path, body=body, headers={"Content-Type": "application/json"})
            answer = connection.getresponse()
            data = answer.read()
            connection.close()
            return answer.status, data
        except (OSError, http.client.HTTPException):
            return 0, b""

    def send_configuration(self, document, seconds):
        """Sends it to one replica after another until it is taken. Returns whether one has acknowledged it."""
        body = json.dumps(document)
        end = time.monotonic() + seconds
        turn = 0
        last = None
        while time.monotonic() < end:
            node = self.controls[turn % len(self.controls)]
            turn += 1
            status, _ = self.call_control(node, "PUT", "/v1/configuration", body)
            if status != last or status == 200:
                self.record.add(f"operator: configuration {document['version']} sent to {node}: "
                                f"{status if status else 'no answer'}")
            last = status
            if status == 200:
                return True
            time.sleep(0.2)
        return False

    def is_ready(self, entry):
        try:
            connection = http.client.HTTPConnection(self.address(entry), READY_PORT, timeout=1.0)
            connection.request("GET", "/readyz")
            status = connection.getresponse().status
            connection.close()
            return status == 200
        except (OSError, http.client.HTTPException):
            return False

    def wait_until_ready(self, seconds):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if all(self.is_ready(entry) for entry in self.entries):
                self.record.add("all entries are ready")
                return True
            time.sleep(0.1)
        return False

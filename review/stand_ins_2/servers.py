"""Stand-ins of the users' servers: they register, keep connections, and answer as PROTOCOL.md says."""

import http.client
import json
import random
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

from small_fleet import CONTROL_PORT, SERVER_PORT, ZONES


class _Listener(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 256
    allow_reuse_address = True

    def handle_error(self, request, client_address):
        pass  # A peer that closed its connection.


class Server:
    """A server of a plain service. `serve` may be replaced by a function of the handler and the attempt's id."""

    def __init__(self, fleet, record, number, service, slots=6):
        self.fleet, self.record, self.service, self.slots = fleet, record, service, slots
        self.name = f"s{number}"
        self.address = fleet.address(self.name)
        self.zone = ZONES[(number - 1) % 3]
        self.born = int(time.time() * 1000)
        self.id = f"i-{self.name}-{random.randrange(16 ** 6):06x}"
        self.state = "ready"
        self.call_seq = 0
        self.ran = []
        self.serve = Server.answer_whole
        self._stopped = threading.Event()
        server = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def log_message(self, *arguments):
                pass

            def do_GET(self):
                length = int(self.headers.get("Content-Length") or 0)
                self.body = self.rfile.read(length) if length else b""
                server.handle(self)

            do_POST = do_PUT = do_HEAD = do_GET

        self.listener = _Listener((self.address, SERVER_PORT), Handler)
        threading.Thread(target=self.listener.serve_forever, kwargs={"poll_interval": 0.05}, daemon=True).start()
        threading.Thread(target=self._report, daemon=True).start()

    # ------------------------------------------------------------ requests

    def handle(self, handler):
        if handler.path == "/healthz":
            self.reply(handler, 200, b"", {"X-Larchlever-Instance-Id": self.id})
            return
        if handler.path in ("/larchlever/report", "/larchlever/order"):
            self.handle_control(handler)
            return
        attempt = handler.headers.get("X-Larchlever-Attempt-Id", "")
        expected = handler.headers.get("X-Larchlever-Expect-Instance")
        if expected and expected != self.id:
            self.reply(handler, 421, b"", {"X-Larchlever-Attempt-Id": attempt, "X-Larchlever-Not-Executed": "1"})
            return
        self.ran.append(attempt)
        self.record.add(f"{self.name} ({self.id}) runs {attempt}")
        self.serve(self, handler, attempt)

    def handle_control(self, handler):
        self.reply(handler, 404, b"", {})

    def answer_whole(self, handler, attempt):
        time.sleep(0.02)
        self.reply(handler, 200, f"{attempt} by {self.id}\n".encode(), self.signature(attempt))

    def signature(self, attempt):
        return {"X-Larchlever-Attempt-Id": attempt, "X-Larchlever-Server-Seal": "seal." + self.id,
                "X-Larchlever-Weight-Versions": "1"}

    @staticmethod
    def reply(handler, status, body, headers):
        handler.send_response(status)
        for name, value in headers.items():
            handler.send_header(name, value)
        handler.send_header("Content-Length", str(len(body)))
        handler.end_headers()
        if handler.command != "HEAD":
            handler.wfile.write(body)

    # ------------------------------------------------------- registration

    def report(self):
        return {"service": self.service, "address": f"{self.address}:{SERVER_PORT}", "zone": self.zone,
                "version": "v1", "slots": self.slots, "state": self.state, "cold_left_ms": 0, "phase": "mixed",
                "models": [], "born": self.born}

    def call(self, operation, body):
        """Calls one control replica after another, at most once each. Returns whether one has acknowledged it."""
        nodes = list(self.fleet.controls)
        random.shuffle(nodes)
        for node in nodes:
            status, _ = self.fleet.call_control(node, "POST", f"/v1/instances/{self.id}/{operation}",
                                                json.dumps(body))
            if 200 <= status < 300:
                return True
        return False

    def beat(self):
        self.call_seq += 1
        return self.call("heartbeat", dict(self.report(), call_seq=self.call_seq))

    def _report(self):
        while not self._stopped.wait(1.2 if self.beat() else 0.3):
            pass

    def crash(self):
        """Ends without a word: all connections are closed, and the port refuses new ones."""
        self._stopped.set()
        self.listener.shutdown()
        self.listener.server_close()


class Client:
    """Sends single requests, each on a connection of its own."""

    def __init__(self, fleet, record):
        self.fleet, self.record = fleet, record
        self._number = 0

    def new_id(self):
        self._number += 1
        return f"{self._number:04x}{random.randrange(16 ** 12):012x}"

    def request(self, entry, method, path, host, attempt, deadline_ms, headers=None, body=None):
        """Returns the status, the headers and the body of the answer; status 0 without a whole answer."""
        from small_fleet import CALLER_PORT
        fields = {"Host": host, "X-Larchlever-Attempt-Id": attempt, "X-Larchlever-Deadline-Ms": str(deadline_ms)}
        fields.update(headers or {})
        try:
            connection = http.client.HTTPConnection(self.fleet.address(entry), CALLER_PORT,
                                                    timeout=deadline_ms / 1000)
            connection.request(method, path, body=body, headers=fields)
            answer = connection.getresponse()
            data = answer.read()
            connection.close()
            return answer.status, answer.headers, data
        except (OSError, http.client.HTTPException):
            return 0, {}, b""


def plain_route(name, service, kind, timeout_ms=4000, max_attempts=2):
    return {"name": name, "host": f"{name}.example", "path_prefix": f"/{name}/", "type": kind,
            "timeout_ms": timeout_ms, "target_latency_ms": 300, "priority": 1, "service": service,
            "max_attempts": max_attempts, "public": True}


def document(version, routes, services):
    return {"version": version, "routes": routes, "services": services,
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                       "idle_timeout_ms": 15000}}


def plain_service(name):
    return {"name": name, "health_path": "/healthz", "max_connections": 110, "protocol": "h1", "tls": False}

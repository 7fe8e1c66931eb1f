"""Stand-ins for instances, clients and the operator, as the users' pages describe them."""

import itertools
import json
import random
import socket
import threading
import time
import uuid

import http2


def control_call(record, who, addresses, method, path, body=b"", tries=12, log=True, accept=(200,), shuffle=True):
    """A call to any control address: on a failure, a 5xx or a second without an answer, the next one.
    Returns (status, body, address) of the first clear answer, or (0, b"", "")."""
    order = list(addresses)
    if shuffle:
        random.shuffle(order)
    pause = 0.05
    for address in itertools.islice(itertools.cycle(order), tries):
        try:
            status, _, answer = http2.call(method, address, path, body,
                {"Content-Type": "application/json"} if body else {}, timeout=1.0)
        except (OSError, http2.NoAnswer, ValueError) as error:
            status, answer = 0, str(error).encode()
        if log:
            record.add(f"{who}: {method} {path} at {address} -> {status or 'no answer'} {answer[:80]!r}")
        if status in accept or 400 <= status < 500 and status not in (408, 429):
            return status, answer, address
        time.sleep(pause)
        pause = min(pause * 1.6, 0.5)
    return 0, b"", ""


class Instance:
    """An instance: registers, sends pings, runs requests. `work(request)` returns the seconds of work."""

    def __init__(self, record, fleet, service, number, zone, slots=6, work=None, ident=None):
        self.record = record
        self.fleet = fleet
        self.service = service
        self.id = ident or f"i-{uuid.uuid4().hex[:8]}"
        self.zone = zone
        self.slots = slots
        self.work = work or (lambda request: 0.02)
        self.ip = f"127.{fleet.net}.3.{number}"
        self.socket = socket.create_server((self.ip, 0))
        self.address = f"{self.ip}:{self.socket.getsockname()[1]}"
        self.born = int(time.time() * 1000)
        self.seq = itertools.count(1)
        self.state = "ready"
        self.runs = []
        self.controls = lambda: [m.endpoint("control") for m in fleet.core]
        self.pinging = True
        self.log_pings = False
        self.stopped = threading.Event()
        threading.Thread(target=self._accept, daemon=True).start()

    def ping_body(self, seq=None, state=None):
        return json.dumps({
            "address": self.address, "born": self.born,
            "info": {"service": self.service, "version": "v1", "zone": self.zone, "slots": self.slots},
            "status": {"state": state or self.state, "seq": seq or next(self.seq), "cold_left_ms": 0},
        }).encode()

    def ping(self, **options):
        return control_call(self.record, self.id, self.controls(), "POST",
            f"/laburnumroute/instances/{self.id}/heartbeat", self.ping_body(), log=self.log_pings, **options)

    def register(self, within=20.0):
        """Pings until one is acknowledged, then goes on pinging."""
        limit = time.monotonic() + within
        while self.ping()[0] != 200:
            if time.monotonic() > limit:
                return False
        self.record.add(f"{self.id}: instance of {self.service} at {self.address} is registered")
        threading.Thread(target=self._ping_on, daemon=True).start()
        return True

    def _ping_on(self):
        while not self.stopped.wait(1.5):
            if self.pinging:
                self.ping(tries=4)

    def deregister(self):
        return control_call(self.record, self.id, self.controls(), "POST",
            f"/laburnumroute/instances/{self.id}/deregister")

    def _accept(self):
        while not self.stopped.is_set():
            try:
                channel, _ = self.socket.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(channel,), daemon=True).start()

    def _serve(self, channel):
        stream = http2.Stream(channel)
        try:
            channel.settimeout(10.0)
            while not self.stopped.is_set():
                head = stream.head()
                if head is None:
                    return
                body = stream.body(head[1])
                if not self.answer(channel, head[0], head[1], body):
                    return
        except (OSError, http2.NoAnswer, ValueError):
            pass
        finally:
            channel.close()

    def answer(self, channel, line, fields, body):
        """Answers one request; returns whether the channel is kept."""
        method, path, _ = line.split(" ")
        request_id = fields.get("x-laburnumroute-request-id", "")
        expected = fields.get("x-laburnumroute-expect-instance", self.id)
        if expected != self.id:
            self.send(channel, "421 Misdirected Request", request_id,
                {"X-Laburnumroute-Not-Executed": "1", "X-Laburnumroute-Instance-Id": self.id})
            return True
        if not request_id:
            self.send(channel, "400 Bad Request", request_id, {"X-Laburnumroute-Not-Executed": "1"})
            return True
        run = {"at": self.record.now(), "id": request_id, "method": method, "path": path, "body": body,
               "fields": fields, "instance": self.id, "service": self.service}
        self.runs.append(run)
        self.record.add(f"{self.id}: runs {request_id} {method} {path}")
        time.sleep(self.work(run))
        return self.finish(channel, run)

    def finish(self, channel, run):
        self.send(channel, "200 OK", run["id"], {"X-Laburnumroute-Response-Stamp": self.stamp(run["id"])},
            f"{self.id} {run['id']}\n".encode())
        return True

    def stamp(self, request_id):
        return f"{self.id}.{request_id}"

    @staticmethod
    def send(channel, status, request_id, fields, body=b""):
        lines = [f"HTTP/1.1 {status}", f"X-Laburnumroute-Request-Id: {request_id}",
                 f"Content-Length: {len(body)}"]
        lines += [f"{name}: {value}" for name, value in fields.items()]
        channel.sendall("\r\n".join(lines).encode() + b"\r\n\r\n" + body)

    def end(self):
        self.stopped.set()
        self.socket.close()
        self.record.add(f"{self.id}: exits")


def configuration(version, routes):
    """`routes`: (host, prefix, kind, service or split) each, with optional fields in a dict."""
    services, hosts = [], {}
    for host, prefix, kind, target, *more in routes:
        entry = {"name": f"r-{len(hosts)}{prefix.strip('/').replace('/', '-')}", "path_prefix": prefix,
                 "route_type": kind, "timeout_ms": 5000, "target_latency_ms": 2000, "priority": 1,
                 "max_attempts": 2, **(more[0] if more else {})}
        if isinstance(target, str):
            entry["service"] = target
            services.append(target)
        else:
            entry["traffic_split"] = [{"service": s, "weight": w} for s, w in target]
            services += [s for s, _ in target]
        hosts.setdefault(host, []).append(entry)
    return {
        "version": f"r{version}",
        "services": [{"name": s, "health_path": "/healthz", "max_conns": 390, "protocol": "h1", "tls": False}
                     for s in sorted(set(services))],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000,
                   "idle_timeout_ms": 15000},
        "hosts": [{"host": host, "paths": paths} for host, paths in hosts.items()],
    }


class Operator:
    def __init__(self, record, fleet):
        self.record = record
        self.fleet = fleet

    def addresses(self):
        return [m.endpoint("control") for m in self.fleet.core]

    def put(self, content, tries=12):
        status, _, address = control_call(self.record, f"operator {content['version']}", self.addresses(),
            "POST", "/laburnumroute/config/put", json.dumps(content).encode(), tries=tries)
        return status, address

    def get(self, tries=12):
        status, body, _ = control_call(self.record, "operator", self.addresses(), "GET",
            "/laburnumroute/config/get", tries=tries)
        return json.loads(body) if status == 200 else None


def request(record, address, host, path, method="GET", body=b"", deadline_ms=4000, fields=None, who="client",
            timeout=None):
    """One client attempt on a new channel; returns (id, status, fields, body), status 0 without an answer."""
    request_id = uuid.uuid4().hex[:16]
    try:
        status, got, answer = http2.call(method, address, path, body, {
            "Host": host, "X-Laburnumroute-Request-Id": request_id,
            "X-Laburnumroute-Deadline-Ms": str(deadline_ms), **(fields or {})},
            timeout=timeout or deadline_ms / 1000 + 1.0)
    except (OSError, http2.NoAnswer, ValueError) as error:
        record.add(f"{who}: {request_id} {method} {host}{path} at {address} -> no answer ({error})")
        return request_id, 0, {}, b""
    record.add(f"{who}: {request_id} {method} {host}{path} at {address} -> {status}")
    return request_id, status, got, answer

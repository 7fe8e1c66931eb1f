"""One instance of a service, as a process of its own: serves HTTP/1.1 as PROTOCOL.md ("Instances") tells it, and reports
itself to the control processes. Arguments: a JSON object, see DEFAULTS. Appends a line for each request that it runs."""

import json
import os
import signal
import socket
import sys
import threading
import time

DRAIN_S = 2.5  # drain_ms

DEFAULTS = {
    "id": "i-1", "service": "svc", "address": "127.0.3.1", "port": 0, "zone": "mass-worcester", "slots": 6,
    "work_ms": 300, "pieces": 1, "body_bytes": 400, "controls": [], "runs": "", "answers": "", "queue": 24, "framing": "length",
}


class Reader:
    """Buffered reader of one channel."""

    def __init__(self, channel):
        self.channel, self.data = channel, b""

    def fill(self):
        part = self.channel.recv(65536)
        if not part:
            raise EOFError
        self.data += part

    def until(self, mark):
        while mark not in self.data:
            self.fill()
        head, self.data = self.data.split(mark, 1)
        return head

    def exactly(self, count):
        while len(self.data) < count:
            self.fill()
        part, self.data = self.data[:count], self.data[count:]
        return part


class Server:
    def __init__(self, options):
        self.options = {**DEFAULTS, **options}
        self.slots = threading.Semaphore(self.options["slots"])
        self.lock = threading.Lock()
        self.running = self.waiting = 0
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind((self.options["address"], self.options["port"]))
        self.listener.listen(256)
        self.port = self.listener.getsockname()[1]

    def serve(self):
        while True:
            channel, _ = self.listener.accept()
            threading.Thread(target=self.channel, args=(channel,), daemon=True).start()

    def channel(self, channel):
        channel.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        reader = Reader(channel)
        try:
            while self.request(channel, reader):
                pass
        except (OSError, EOFError, ValueError):
            pass
        finally:
            channel.close()

    def request(self, channel, reader):
        lines = reader.until(b"\r\n\r\n").decode("latin-1").split("\r\n")
        method, target, _ = lines[0].split(" ")
        fields = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            fields[name.strip().lower()] = value.strip()
        if fields.get("transfer-encoding", "").lower() == "chunked":
            body = b""
            while True:
                size = int(reader.until(b"\r\n").split(b";")[0], 16)
                body += reader.exactly(size)
                reader.until(b"\r\n")
                if size == 0:
                    break
        else:
            body = reader.exactly(int(fields.get("content-length", "0")))
        if target == "/healthz":
            self.answer(channel, "200 OK", {"X-Laburnumroute-Instance-Id": self.options["id"]}, b"")
            return True
        request_id = fields.get("x-laburnumroute-request-id", "")
        echo = {"X-Laburnumroute-Request-Id": request_id}
        if not request_id:
            self.answer(channel, "400 Bad Request", {"X-Laburnumroute-Not-Executed": "1"}, b"")
            return True
        if fields.get("x-laburnumroute-expect-instance", self.options["id"]) != self.options["id"]:
            self.answer(channel, "421 Misdirected Request", {**echo, "X-Laburnumroute-Not-Executed": "1",
                                                             "X-Laburnumroute-Instance-Id": self.options["id"]}, b"")
            return True
        arrived = time.monotonic()
        budget = int(fields.get("x-laburnumroute-deadline-ms", "10000")) / 1000
        if not self.take_slot(budget):
            self.answer(channel, "503 Service Unavailable", {**echo, "X-Laburnumroute-Not-Executed": "1"}, b"")
            return True
        try:
            self.run(channel, method, target, request_id, body, echo, arrived + budget)
        finally:
            with self.lock:
                self.running -= 1
            self.slots.release()
        return True

    def take_slot(self, budget):
        with self.lock:
            if self.waiting >= self.options["queue"]:
                return False
            self.waiting += 1
        taken = self.slots.acquire(timeout=budget)
        with self.lock:
            self.waiting -= 1
            if taken:
                self.running += 1
        return taken

    def run(self, channel, method, target, request_id, body, echo, end):
        options = self.options
        if options["runs"]:
            with self.lock, open(options["runs"], "a") as file:
                file.write(json.dumps({"t": round(time.time(), 3), "id": request_id, "instance": options["id"],
                                       "method": method, "target": target, "body_bytes": len(body)}) + "\n")
        payload = (request_id + "." ).encode() * (options["body_bytes"] // (len(request_id) + 1) + 1)
        payload = payload[:options["body_bytes"]]
        stamp = {**echo, "X-Laburnumroute-Response-Stamp": f"{options['id']}.{request_id}",
                 "X-Laburnumroute-Server-Load": f"{self.running},{self.waiting},{options['slots']}"}
        pieces = max(options["pieces"], 1)
        step = len(payload) // pieces + 1
        if options["framing"] == "chunked":
            # The answer is sent as it is made: the head and the first piece at once, the rest with the work.
            self.head(channel, "200 OK", {**stamp, "Transfer-Encoding": "chunked"})
            for i in range(0, len(payload), step):
                part = payload[i:i + step]
                channel.sendall(b"%x\r\n%s\r\n" % (len(part), part))
                time.sleep(options["work_ms"] / pieces / 1000)
                if time.monotonic() > end:
                    raise EOFError
            channel.sendall(b"0\r\n\r\n")
            return
        time.sleep(options["work_ms"] / 1000)
        if time.monotonic() > end:
            self.answer(channel, "504 Gateway Timeout", stamp, b"")
            return
        self.answer(channel, "200 OK", stamp, payload)

    @staticmethod
    def head(channel, status, fields):
        text = f"HTTP/1.1 {status}\r\n" + "".join(f"{n}: {v}\r\n" for n, v in fields.items()) + "\r\n"
        channel.sendall(text.encode("latin-1"))

    def answer(self, channel, status, fields, body):
        text = f"HTTP/1.1 {status}\r\n" + "".join(f"{n}: {v}\r\n" for n, v in fields.items())
        channel.sendall((text + f"Content-Length: {len(body)}\r\n\r\n").encode("latin-1") + body)


def report(server, options, leaving):
    """Sends heartbeats, moving on to the next control process after a failure. Once `leaving` is set, it reports
    `draining`, serves on for `drain_ms` after the acknowledgement and a little longer, sends `deregister` and exits."""
    from deployment import call
    body = {"address": f"{options['address']}:{server.port}", "born": int(time.time() * 1000),
            "info": {"service": options["service"], "version": "v1", "zone": options["zone"],
                     "slots": options["slots"]},
            "status": {"state": "ready", "seq": 0, "cold_left_ms": 0}}
    target = 0

    def send(suffix, content):
        nonlocal target
        for _ in range(20):
            address, port = options["controls"][target % len(options["controls"])]
            status, _, _ = call("POST", address, port, f"/laburnumroute/instances/{options['id']}/{suffix}", content,
                                {"Content-Type": "application/json"} if content else {})
            if options["answers"]:
                with open(options["answers"], "a") as file:
                    file.write(json.dumps({"t": round(time.time(), 3), "id": options["id"], "call": suffix,
                                           "state": body["status"]["state"], "answered": status}) + "\n")
            if 200 <= status < 300:
                return
            target += 1
            time.sleep(0.2)

    while True:
        if leaving.is_set():
            body["status"]["state"] = "draining"
        body["status"]["seq"] += 1
        send("heartbeat", json.dumps(body))
        if body["status"]["state"] == "draining":
            time.sleep(DRAIN_S + 0.5)
            send("deregister", None)
            os._exit(0)
        leaving.wait(1.5)


def main():
    options = {**DEFAULTS, **json.loads(sys.argv[1])}
    server = Server(options)
    leaving = threading.Event()
    signal.signal(signal.SIGTERM, lambda *_: leaving.set())
    if options["controls"]:
        threading.Thread(target=report, args=(server, options, leaving), daemon=True).start()
    server.serve()


if __name__ == "__main__":
    main()

"""HTTP/1.1 over plain sockets for the stand-ins: one request on one new channel, parsing of heads."""

import socket


class NoAnswer(Exception):
    """The channel ended, or the time was over, before a complete answer."""


class Stream:
    def __init__(self, sock):
        self.sock = sock
        self.data = b""

    def fill(self):
        part = self.sock.recv(65536)
        if not part:
            raise NoAnswer("closed")
        self.data += part

    def head(self):
        """Returns (first line, fields with lower-case names); None at the end of the channel."""
        while b"\r\n\r\n" not in self.data:
            part = self.sock.recv(65536)
            if not part:
                if self.data:
                    raise NoAnswer("closed in a head")
                return None
            self.data += part
        head, self.data = self.data.split(b"\r\n\r\n", 1)
        lines = head.decode("latin-1").split("\r\n")
        fields = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            fields[name.strip().lower()] = value.strip()
        return lines[0], fields

    def exactly(self, count):
        while len(self.data) < count:
            self.fill()
        part, self.data = self.data[:count], self.data[count:]
        return part

    def line(self):
        while b"\r\n" not in self.data:
            self.fill()
        line, self.data = self.data.split(b"\r\n", 1)
        return line

    def body(self, fields, until_close=False):
        if fields.get("transfer-encoding", "").lower() == "chunked":
            body = b""
            while True:
                size = int(self.line().split(b";")[0], 16)
                if size == 0:
                    while self.line():
                        pass
                    return body
                body += self.exactly(size)
                self.line()
        if "content-length" in fields:
            return self.exactly(int(fields["content-length"]))
        if not until_close:
            return b""
        while True:
            part = self.sock.recv(65536)
            if not part:
                body, self.data = self.data, b""
                return body
            self.data += part


def call(method, address, path, body=b"", fields=None, timeout=1.0):
    """One request on a new channel; returns (status, fields, body). Raises OSError or NoAnswer."""
    host, port = address.rsplit(":", 1)
    with socket.create_connection((host, int(port)), timeout=timeout) as sock:
        sock.settimeout(timeout)
        lines = [f"{method} {path} HTTP/1.1"]
        named = {"Host": address, **(fields or {})}
        if body or method == "POST":
            named["Content-Length"] = str(len(body))
        lines += [f"{name}: {value}" for name, value in named.items()]
        sock.sendall("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        stream = Stream(sock)
        while True:
            head = stream.head()
            if head is None:
                raise NoAnswer("closed")
            status = int(head[0].split()[1])
            if status >= 200:
                return status, head[1], stream.body(head[1], until_close=True)

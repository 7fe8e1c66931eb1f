"""Cuts each direction of a relayed connection in turn and prints which bytes arrive."""

import pathlib
import socket
import subprocess
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent.parent))
import fleet  # noqa: E402

SILENCE_S = 0.3
ARRIVAL_TIMEOUT_S = 30.0


def arrives(sender, receiver, expected):
    """Sends a byte and returns whether it reaches `receiver`. A byte that is not `expected` gets a shorter timeout."""
    receiver.settimeout(ARRIVAL_TIMEOUT_S if expected else SILENCE_S)
    sender.sendall(b"x")
    try:
        return receiver.recv(1) == b"x"
    except TimeoutError:
        return False


class Path:
    """A relay between a client and a target on loopback."""

    def __init__(self):
        self.target = socket.create_server(("127.0.0.1", 0))
        self.listen = fleet.free_port()
        self.relay = subprocess.Popen(
            ["standin_relay", f"127.0.0.1:{self.listen}", f"127.0.0.1:{self.target.getsockname()[1]}"],
            stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True)
        assert self.relay.stdout.readline() == "ready\n"

    def open(self):
        caller = socket.create_connection(("127.0.0.1", self.listen))
        return caller, self.target.accept()[0]

    def command(self, line):
        self.relay.stdin.write(line + "\n")
        self.relay.stdin.flush()
        assert self.relay.stdout.readline() == "done\n"


def main():
    path = Path()
    for cut in ("forward", "backward", "both"):
        caller, target = path.open()
        print("healed:", arrives(caller, target, True), arrives(target, caller, True))
        path.command("cut " + cut)
        print(f"cut {cut}:", arrives(caller, target, cut == "backward"), arrives(target, caller, cut == "forward"))
        path.command("heal")
    path.command("quit")
    return path.relay.wait(ARRIVAL_TIMEOUT_S)


if __name__ == "__main__":
    sys.exit(main())

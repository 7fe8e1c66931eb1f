"""A TCP proxy of the tests' own that delays what the caller sends."""

import socket
import threading
import time


class DelayProxy:
    """Passes bytes on to `target`; those of the caller arrive `delay_s` later, in order. What a caller
    sent before it closed the channel still arrives."""

    def __init__(self, ip, target, delay_s=0.0):
        self.target = target
        self.delay_s = delay_s
        self.socket = socket.create_server((ip, 0))
        self.address = f"{ip}:{self.socket.getsockname()[1]}"
        self.stopped = False
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while not self.stopped:
            try:
                channel, _ = self.socket.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(channel,), daemon=True).start()

    def _serve(self, channel):
        delay = self.delay_s
        parts = []
        changed = threading.Condition()

        def read():
            while True:
                try:
                    data = channel.recv(65536)
                except OSError:
                    data = b""
                with changed:
                    parts.append((time.monotonic() + delay, data))
                    changed.notify()
                if not data:
                    return

        threading.Thread(target=read, daemon=True).start()
        far = None
        try:
            while not self.stopped:
                with changed:
                    while not parts:
                        changed.wait(1.0)
                    due, data = parts.pop(0)
                time.sleep(max(0.0, due - time.monotonic()))
                if not data:
                    break
                if far is None:
                    host, port = self.target.rsplit(":", 1)
                    far = socket.create_connection((host, int(port)), timeout=2.0)
                    threading.Thread(target=self._back, args=(far, channel), daemon=True).start()
                far.sendall(data)
            if far is not None:
                time.sleep(0.5)
        except OSError:
            pass
        finally:
            if far is not None:
                far.close()

    @staticmethod
    def _back(far, channel):
        try:
            while True:
                data = far.recv(65536)
                if not data:
                    break
                channel.sendall(data)
        except OSError:
            pass
        try:
            channel.close()
        except OSError:
            pass

    def stop(self):
        self.stopped = True
        self.socket.close()

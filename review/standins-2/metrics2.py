"""Reads a figure from the metrics page of a process."""

import re

import http2


def figure(machine, name):
    try:
        text = http2.call("GET", machine.endpoint("metrics"), "/metrics")[2].decode()
    except (OSError, http2.NoAnswer):
        return None
    found = re.search(rf"^{name} (\S+)", text, re.M)
    return float(found.group(1)) if found else None

"""Runs one case: exit code 1 if the rule was broken, 0 if it held, 2 if the case could not run."""

import os
import pathlib
import sys
import time
import traceback

import fleet2

LIMIT_S = 110.0


def trouble():
    """False when the case is played without its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def run(play, folder, **options):
    """`play(record, fleet)` returns the breaks of the rule as texts."""
    record = fleet2.Record(pathlib.Path(folder) / "record.txt")
    record.add(f"case: TROUBLE={'1' if trouble() else '0'}")
    fleet = None
    try:
        fleet = fleet2.Fleet(record, **options)
        breaks = play(record, fleet)
        if record.now() > LIMIT_S:
            raise fleet2.CannotRun("the case took too long")
        code = 1 if breaks else 0
        for text in breaks:
            record.add("broken: " + text)
    except fleet2.CannotRun as error:
        code = 2
        record.add(f"case: could not run: {error}")
    except Exception:
        code = 2
        record.add("case: could not run: " + traceback.format_exc())
    finally:
        if fleet is not None:
            fleet.stop()
            fleet.remove_folder()
    record.add(f"case: exit code {code}")
    print(f"exit code {code}; see record.txt")
    sys.stdout.flush()
    os._exit(code)


def need(condition, what):
    if not condition:
        raise fleet2.CannotRun(what)


def wait_until(condition, seconds):
    limit = time.monotonic() + seconds
    while time.monotonic() < limit:
        if condition():
            return True
        time.sleep(0.1)
    return False

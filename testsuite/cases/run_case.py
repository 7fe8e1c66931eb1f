#!/usr/bin/env python3
"""Runs one end-to-end case and compares its output with the reference output.

Usage: run_case.py CASE_FOLDER BIN_FOLDER [--update]

`command` is a shell script that runs from the root of the tree with the programs' folder on its PATH, CASE set to the
case's folder and TMPDIR to an empty one. `expected` contains its standard output and error, and its exit code as the
last line. --update rewrites `expected`; review the difference before committing it."""

import difflib
import os
import pathlib
import subprocess
import sys
import tempfile

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent


def run(case, programs):
    """Returns the output of the case, with its exit code as the last line."""
    environment = os.environ | {"PATH": f"{programs}:{os.environ['PATH']}", "CASE": str(case.relative_to(ROOT))}
    with tempfile.TemporaryDirectory(prefix="laburnum-case-") as scratch:
        done = subprocess.run(["sh", case / "command"], cwd=ROOT, env=environment | {"TMPDIR": scratch},
                              stdout=subprocess.PIPE, stderr=subprocess.STDOUT, stdin=subprocess.DEVNULL, text=True,
                              check=False)
    return f"{done.stdout}exit {done.returncode}\n"


def main():
    case, programs = pathlib.Path(sys.argv[1]).resolve(), pathlib.Path(sys.argv[2]).resolve()
    reference = case / "expected"
    actual = run(case, programs)
    if "--update" in sys.argv:
        reference.write_text(actual)
        return 0
    wanted = reference.read_text()
    sys.stdout.writelines(difflib.unified_diff(wanted.splitlines(True), actual.splitlines(True), "expected", "actual"))
    return 0 if actual == wanted else 1


if __name__ == "__main__":
    sys.exit(main())

#!/usr/bin/env python3
"""Checks imports: one a line, in three groups (std, crates, ours), sorted."""
import re
import subprocess
import sys



def group_of(path):
    root = path.split("::")[0]
    if root in ("std", "core", "alloc"):
        return 0
    return 2 if root in ("crate", "super", "self") else 1


def check(name):
    faults, run, indent = [], [], None
    for number, line in enumerate(open(name, encoding="utf-8"), 1):
        found = re.match(r"^(\s*)(?:pub(?:\([a-z]+\))? )?use ([^;]+);", line)
        if re.match(r"^\s*(?:pub )?use [^;]*(\{|$)", line):
            faults.append(f"{name}:{number}: more than one import in a line")
        if not found:
            if run and line.strip() and not line.strip().startswith(("//", "#[")):
                run = []
            continue
        if run and found[1] != indent:
            run = []
        indent = found[1]
        path = found[2]
        if run and group_of(path) < group_of(run[-1]):
            faults.append(f"{name}:{number}: {path} belongs to an earlier group")
        run.append(path)
    return faults


names = subprocess.run(
    ["git", "ls-files", "*.rs"], capture_output=True, text=True, check=True
).stdout.split()
faults = [fault for n in names if not n.endswith("_capnp.rs") for fault in check(n)]
print("\n".join(faults) or f"imports: {len(names)} files in order")
sys.exit(1 if faults else 0)

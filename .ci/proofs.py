#!/usr/bin/env python3
"""Checks that each test named in docs/PROOFS.md exists in the file named with it."""
import re
import sys

PAGE = "docs/PROOFS.md"

faults, count = [], 0
for number, line in enumerate(open(PAGE, encoding="utf-8"), 1):
    for path, name in re.findall(r"`([\w/]+\.rs)::(\w+)`", line):
        count += 1
        try:
            text = open(path, encoding="utf-8").read()
        except OSError:
            faults.append(f"{PAGE}:{number}: no file {path}")
            continue
        if not re.search(rf"\bfn {name}\b", text):
            faults.append(f"{PAGE}:{number}: no test {name} in {path}")
if count == 0:
    faults.append(f"{PAGE}: names no test")
print("\n".join(faults) or f"proofs: {count} named tests exist")
sys.exit(1 if faults else 0)

#!/bin/sh
# Builds the stand-ins of the scripts: Python of the standard library, so that there is only to check
# that they compile. The program itself is built by the build line of deploy/system.toml.
cd "$(dirname "$0")" || exit 2
python3 - standins.py */case.py <<'END'
import sys

for name in sys.argv[1:]:
    with open(name, encoding="utf-8") as source:
        compile(source.read(), name, "exec")
END

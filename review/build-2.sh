#!/usr/bin/env bash
# Builds what the scripts of review/6 to review/10 start, after the build of the deploy file. The
# stand-ins are Python: those of harness2.py and the project's lacewinghub.fakes.platform_store,
# which use the packages in target/deps. There is nothing to compile; this checks that they load.
set -euo pipefail
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps python3 -c 'import sys; sys.path.insert(0, "review"); import harness2'

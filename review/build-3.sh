#!/usr/bin/env bash
# Checks that the stand-ins of review/11 to review/15 can start: they are Python
# programs that need nothing but the standard library of Python 3.11 or later.
set -euo pipefail
cd "$(dirname "$0")"

python3 - common-3/*.py 1?/case.py <<'END'
import sys

if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or later is needed")
for name in sys.argv[1:]:
    if "*" not in name and "?" not in name:
        with open(name, encoding="utf-8") as file:
            compile(file.read(), name, "exec")
END

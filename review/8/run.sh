#!/bin/sh
# Exit 1: the rule was broken. 0: it held. 2: the case could not run. TROUBLE=0: the same without the disruption.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
test -x .venv/bin/python || exit 2
PYTHONPATH=. exec .venv/bin/python -B "$folder/case.py"

#!/bin/sh
# After the build of the deploy file: what an operator's file, HTTP/2 and a fleet need, and all that the cases start.
cd "$(dirname "$0")/.." || exit 2
.venv/bin/pip -q install -r requirements.txt -r requirements-dev.txt &&
    .venv/bin/python -m compileall -q sprucegate standins review

#!/bin/sh
# Builds what the cases start, after the build of the deploy file: the libraries that requirements-dev.txt already names
# (an operator's file, HTTP/2, fleets), and the byte code of the project's stand-ins and of those of the cases.
set -eu
cd "$(dirname "$0")/.."
test -x .venv/bin/python || python3 -m venv .venv
.venv/bin/pip -q install -r requirements.txt -r requirements-dev.txt
.venv/bin/python -m compileall -q sprucegate standins review

#!/bin/sh
# Builds what the cases start, after the build of the deploy file: the libraries that requirements-dev.txt already names
# (an operator's file, HTTP/2, fleets), and the byte code of the project's stand-ins and of those of the cases.
set -eu
cd "$(dirname "$0")/.."
test -x .venv/bin/python || python3 -m venv .venv
wanted='import ckdl, click, h2, hpack, http_sfv, httptools, msgspec, orjson, rich, structlog, uvloop, watchfiles, xxhash'
.venv/bin/python -c "$wanted" 2>/dev/null || .venv/bin/pip -q install -r requirements.txt -r requirements-dev.txt
.venv/bin/python -c "$wanted"
.venv/bin/python -m compileall -q sprucegate standins review

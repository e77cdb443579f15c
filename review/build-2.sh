#!/bin/sh
# Builds what the scripts of the second review start: the stand-ins in review/standins2, which need Python 3.11 only.
set -eu
cd "$(dirname "$0")/.."
python3 -m compileall -q review/standins2

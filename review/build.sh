#!/bin/sh
# Builds the stand-ins that the scripts start: they are Python modules of review/ and need no package.
cd "$(dirname "$0")" && exec python3 -m compileall -q common 1 2 3 4

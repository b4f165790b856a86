#!/bin/bash
# The scripts' stand-ins are Python programs of the standard library: nothing has to be compiled.
set -e
cd "$(dirname "$0")"
python3 -c 'import sys; assert sys.version_info >= (3, 10), "Python 3.10 or later is needed"'
python3 -m compileall -q standins >/dev/null
rm -rf standins/__pycache__

#!/bin/bash
# Builds all that the scripts of cases 6 to 10 start: the program of deploy/system.toml. The
# stand-ins are review/standin-2/sim.py, which needs Python 3.11 and nothing to be built.
set -e
cd "$(dirname "$0")/.."
cargo build --release --locked --package mimosastep-platform
python3 -B -c 'import ast, sys; ast.parse(open("review/standin-2/sim.py").read()); sys.exit(sys.version_info < (3, 8))'

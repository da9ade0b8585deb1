#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the
# disruption out. Needs the build of the deploy file and review/build.sh.
set -euo pipefail
cd "$(dirname "$0")/../.."
[ -x target/review/cases ] || exit 2
exec target/review/cases gap review/5/record.txt

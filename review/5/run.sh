#!/bin/bash
# Runs the case: exit status 1 if the rule was broken, 0 if it held, 2 if it could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/5 ] && [ -x target/chicoryline ] || { echo "not built: run the build of deploy/system.toml and review/build.sh"; exit 2; }
exec target/review/5 review/5/record.txt

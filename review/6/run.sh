#!/bin/sh
# Plays this case: 1 the rule was broken, 0 it held, 2 the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/ragwort-entry ] && [ -x target/standins2 ] || { echo "build first: the deploy file's build, then review/build-2.sh"; exit 2; }
exec target/standins2 6 review/6

#!/usr/bin/env bash
# Plays the case; 'TROUBLE=0' leaves the disruption out. Exit 1: the rule was broken, 0: it held.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/runtime/bin/java ] && [ -e target/review/Cases.class ] || exit 2
exec target/runtime/bin/java -Xmx128m -Xss256k -cp target/review Cases late review/5

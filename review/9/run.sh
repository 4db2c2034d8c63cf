#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: the same
# without the disruption. Needs the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
record=review/9/record.txt
if ! [ -x target/review-2/cell ] || ! [ -x target/release/bronzerail-platform ]; then
    echo "the case could not run: build first" | tee "$record" >&2
    exit 2
fi
exec target/review-2/cell hopeless "$record"

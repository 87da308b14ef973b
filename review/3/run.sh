#!/bin/sh
# Exit code 1: the rule was broken, 0: it held, 2: the case could not run. TROUBLE=0 leaves the disruption out.
set -u
here="$(cd "$(dirname "$0")" && pwd)"
root="$(cd "$here/../.." && pwd)"
cd "$root" || exit 2
rm -f "$here/record.txt"
if [ ! -e target/reedspring.jar ] || [ ! -e review/build/review/Storm.class ]; then
    echo "build the program and review/build.sh first" | tee "$here/record.txt"
    exit 2
fi
exec java -Xmx1g -cp review/build review.Storm "$root" "$here/record.txt"

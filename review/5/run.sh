#!/usr/bin/env bash
# Runs the case; TROUBLE=0 leaves the disruption out. Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
here="$(cd "$(dirname "$0")" && pwd)"
number="$(basename "$here")"
exec timeout --signal=TERM 118 java -Xmx256m -XX:+UseSerialGC \
    -Drepository="$here/../.." -Drecord="$here/record.txt" \
    -cp "$here/../.classes:$here/../.classes/$number" Case

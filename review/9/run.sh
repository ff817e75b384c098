#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: no disruption.
cd "$(dirname "$0")/../.." || exit 2
exec java -Xmx256m -cp target/review-2 Case reservation "$PWD" "$PWD/review/9"

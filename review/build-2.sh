#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10: review/lab2 with the JDK alone, to target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac -d target/review-2 review/lab2/*.java

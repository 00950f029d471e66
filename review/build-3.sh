#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/11 to review/15 start, into target/review-3. Needs
# the build of the deploy file before it, whose programs the scripts start, and no package beyond
# those that the deploy file lists.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
mkdir -p "$root/target/review-3"
g++ -std=c++17 -O1 -Wall -Wextra "$root"/review/standins-3/*.cpp -o "$root/target/review-3/review-cases" -pthread

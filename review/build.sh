#!/usr/bin/env bash
# Builds the stand-ins and the cases into target/review, with what the deploy file's build needs.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review
flags=(-std=c++17 -O1 -Wall -Wextra -Werror -pthread -Ireview/standins)
mkdir -p "$out"
objects=()
for part in Record Http Store Worker Site; do
    c++ "${flags[@]}" -c -o "$out/$part.o" "review/standins/$part.cpp" &
    objects+=("$out/$part.o")
done
for job in $(jobs -p); do
    wait "$job"
done
for source in review/[1-5]/case.cpp; do
    number=$(basename "$(dirname "$source")")
    c++ "${flags[@]}" -o "$out/case-$number" "$source" "${objects[@]}" &
done
for job in $(jobs -p); do
    wait "$job"
done

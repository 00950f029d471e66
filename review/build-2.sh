#!/bin/sh
# Builds the stand-ins and the cases of the second review into target/review-2. Needs what the
# deploy file's build needs.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
flags="-std=c++17 -O1 -Wall -Wextra -pthread"
for name in Http Platform Site StandIns; do
    g++ $flags -c "review/standins-2/$name.cpp" -o "target/review-2/$name.o" &
done
wait
for case in review/6 review/8 review/9 review/10; do
    if [ -f "$case/case.cpp" ]; then
        g++ $flags "$case/case.cpp" target/review-2/Http.o target/review-2/Platform.o \
            target/review-2/Site.o -o "target/review-2/case-$(basename "$case")"
    fi
done
g++ $flags review/7/case.cpp target/review-2/StandIns.o -o target/review-2/case-7

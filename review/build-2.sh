#!/usr/bin/env bash
# Builds the stand-ins of the second review's cases into target/review-2/. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/standins-2/*.cpp; do
    program=target/review-2/$(basename "$source" .cpp)
    if [ ! -e "$program" ] || [ -n "$(find review/standins-2 -newer "$program" -print -quit)" ]; then
        c++ -std=c++20 -O1 -Wall -Wextra -pthread -o "$program" "$source"
    fi
done

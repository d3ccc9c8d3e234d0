#!/usr/bin/env bash
# Builds the programs of the cases into target/review/. Needs what the deploy file lists, and nothing else.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/[1-9]/case.cpp; do
    [ -e "$source" ] || continue
    number=$(basename "$(dirname "$source")")
    g++ -std=c++20 -O1 -pthread -I review/standins "$source" -o "target/review/case-$number"
done

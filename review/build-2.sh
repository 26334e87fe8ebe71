#!/bin/sh
# Builds the programs of the cases 6 to 10 into target/review-2. Needs the
# packages of the deploy file and no others.
set -e
cd "$(dirname "$0")/.."
cmake -S review/lab-2 -B target/review-2 -G Ninja -DCMAKE_BUILD_TYPE=Release
cmake --build target/review-2

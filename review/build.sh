#!/bin/sh
# Builds what the scripts of the cases start, into target/review. Needs g++
# only. The daemon itself comes from the deploy file's build.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
for Source in review/standin/*.cc; do
  Name=$(basename "$Source" .cc)
  [ "$Name" = harness ] && continue
  g++ -std=c++20 -O1 -Wall -Wextra -pthread "$Source" -o "target/review/$Name"
done

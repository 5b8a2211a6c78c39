#!/bin/sh
# Builds the stand-ins of the second review into target/review-2.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
c++ -std=c++17 -O1 -Wall -Wextra -pthread -o target/review-2/stage \
  review/common-2/main.cxx

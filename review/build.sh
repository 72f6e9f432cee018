#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start, into target/review/. Needs only a C++ compiler.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/[1-5]/*.cpp; do
  [ -e "$source" ] || continue
  "${CXX:-g++}" -std=c++17 -O1 -Wall -Wextra -pthread -o "target/review/$(basename "$source" .cpp)" \
    "$source" review/standins/world.cpp
done

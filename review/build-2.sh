#!/usr/bin/env bash
# Builds the stand-ins of the cases in review/6 to review/10 into target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
read -ra flags <<<"$(pkg-config --cflags --libs jsoncpp)"
shared=(review/standins-2/{http_channel,store_standin,deployment}.cpp)
for scenario in drill_after_revocation sudden_demand; do
  g++ -std=c++20 -O1 -Wall -Wextra -pthread "${shared[@]}" "review/standins-2/$scenario.cpp" \
    -o "target/review-2/$scenario" "${flags[@]}"
done

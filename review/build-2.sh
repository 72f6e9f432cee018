#!/usr/bin/env bash
# Builds the stand-ins of the cases in review/6 to review/10 into target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
read -ra flags <<<"$(pkg-config --cflags --libs jsoncpp)"
g++ -std=c++20 -O1 -Wall -Wextra -pthread review/standins-2/*.cpp -o target/review-2/drill_after_revocation "${flags[@]}"

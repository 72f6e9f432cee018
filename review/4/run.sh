#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
set -u
cd "$(dirname "$0")/../.."
[ -x target/quetzald ] && [ -x target/review/last_endpoint ] || exit 2
temporary=$(mktemp -d) || exit 2
trap 'rm -rf "$temporary"' EXIT
timeout -k 2 110 target/review/last_endpoint review/4 "$temporary"
status=$?
[ $status -le 2 ] || status=2
exit $status

#!/bin/sh
# Runs the case. TROUBLE=0 leaves the disruption out. Exits with 1 if the rule was broken, 0 if it held, 2 if the case
# could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-3/standins ] && [ -x target/deploy/sg-node ] || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
TMPDIR=$folder target/review-3/standins cold-start review/14 &
driver=$!
# The daemons end with the driver.
trap 'kill "$driver"; wait "$driver"; exit 2' TERM INT HUP
wait "$driver"
case $? in
0) exit 0 ;;
1) exit 1 ;;
*) exit 2 ;;
esac

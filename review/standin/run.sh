#!/bin/sh
# Runs a case: run.sh CASE RECORD. Ends all processes that it started and removes its temporary
# folder. Exits with 0 if the rule held, 1 if it was broken, 2 if the case could not run.
case=$1
record=$2
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/review/standin ] || [ ! -x target/release/bronzerail-platform ]; then
  echo "build the daemon and review/build.sh first" >"$record"
  exit 2
fi
folder=$(mktemp -d) || exit 2
timeout -s KILL 112 target/review/standin "$case" "$record" "$folder"
code=$?
if [ "$code" -gt 2 ]; then
  # The stand-in did not end in time or crashed, so its daemons may still run.
  for process in $(cat "$folder/processes" 2>/dev/null); do
    kill -KILL "$process" 2>/dev/null
  done
  code=2
fi
rm -rf "$folder"
exit "$code"

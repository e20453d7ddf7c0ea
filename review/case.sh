#!/usr/bin/env bash
# case.sh FOLDER CASE: plays a case from the repository's root, and ends all processes that it started.
set -u
cd "$(dirname "$0")/.." || exit 2
folder=review/$1
program=review/standins/target/release/review-standins
for needed in "$program" target/release/cactusspur-platformd; do
  [ -x "$needed" ] || { echo "$needed is missing" >&2; exit 2; }
done
processes=$(mktemp) || exit 2
export PROCESSES=$processes
finish() {
  while read -r pid; do
    if grep -qs cactusspur-platformd "/proc/$pid/cmdline"; then kill -KILL "$pid"; fi
  done < "$processes"
  rm -f "$processes"
}
trap finish EXIT
trap 'kill "$player" 2>/dev/null; exit 2' INT TERM
"$program" "$2" "$folder/record.txt" &
player=$!
wait "$player"
code=$?
case $code in 0 | 1 | 2) exit "$code" ;; *) exit 2 ;; esac

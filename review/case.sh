#!/usr/bin/env bash
# Runs the case of the folder $1: at most 120 seconds, in a temporary folder, and ends all that it started.
set -u
dir=$(cd "$1" && pwd)
root=$(cd "$dir/../.." && pwd)
tool=$root/review/bin/case-${dir##*/}
[ -x "$tool" ] && [ -x "$root/bin/quillfront" ] || { echo "not built: run the build of deploy/balancer.toml and review/build.sh"; exit 2; }
tmp=$(mktemp -d)
cd "$root" || exit 2
CASE_ROOT=$root CASE_DIR=$dir CASE_TMP=$tmp "$tool" &
pid=$!
(
	for _ in $(seq 115); do
		sleep 1
		kill -0 "$pid" 2>/dev/null || exit 0
	done
	kill -TERM "$pid"
) &
watch=$!
# The programs of the project end with the tool that started them (parent-death signal).
trap 'kill -KILL "$pid" 2>/dev/null; kill "$watch" 2>/dev/null; rm -rf "$tmp"' EXIT
trap 'exit 2' INT TERM
wait "$pid"
code=$?
case $code in
0 | 1) exit "$code" ;;
*) exit 2 ;;
esac

#!/usr/bin/env bash
# Runs the case of the folder $1: at most 120 seconds, in a temporary folder, and ends all that it started.
set -um # each job has a process group of its own
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
# The tool and the programs that it has started are one process group; they also end with the tool (parent-death signal).
finish() {
	kill -KILL -- "-$pid" "-$watch"
	wait
	rm -rf "$tmp"
} 2>/dev/null
trap finish EXIT
trap 'exit 2' INT TERM
wait "$pid"
code=$?
case $code in
0 | 1) exit "$code" ;;
*) exit 2 ;;
esac

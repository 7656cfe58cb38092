# Sourced by the run.sh of the cases 6 to 10, after HERE is set to the folder of the case. Gives
# ROOT, TMP (a temporary folder) and TROUBLE (0 or 1), starts processes, and ends them all at the end.
ROOT=$(cd "$HERE/../.." && pwd)
TROUBLE=${TROUBLE:-1}
TMP=$(mktemp -d)
RECORD=$HERE/record.txt
PIDS=()
: >"$RECORD"
for name in $(env | sed -n 's/^\(GW_[A-Z_]*\)=.*/\1/p'); do
	unset "$name" # settings of the place where the case runs are not the case's
done

# cannot_run REASON ends the case with 2.
cannot_run() {
	echo "cannot run: $*" | tee -a "$RECORD"
	exit 2
}

cleanup() {
	trap - EXIT
	for pid in "${PIDS[@]}"; do
		kill -CONT "$pid" 2>/dev/null
		kill -KILL "$pid" 2>/dev/null
	done
	wait 2>/dev/null
	rm -rf "$TMP"
}
trap cleanup EXIT
trap 'exit 2' INT TERM

[ -x "$ROOT/bin/quillfront" ] || cannot_run "bin/quillfront is missing: run the build of deploy/balancer.toml"
[ -x "$ROOT/bin/review2" ] || cannot_run "bin/review2 is missing: run review/build-2.sh"

note() { echo "$(date +%H:%M:%S.%3N) $*" >>"$RECORD"; }

# standin NAME ARGS... starts a stand-in, whose standard output goes to $TMP/NAME.out; its process is $PID.
standin() {
	local name=$1
	shift
	"$ROOT/bin/review2" "$@" >"$TMP/$name.out" 2>"$TMP/$name.err" &
	PID=$!
	PIDS+=("$PID")
}

# first_line NAME prints the first line of a stand-in's output, which is mostly its address.
first_line() {
	for _ in $(seq 100); do
		if [ -s "$TMP/$1.out" ]; then
			head -n1 "$TMP/$1.out"
			return
		fi
		sleep 0.05
	done
	return 1
}

# sidecar NAME ARGS... starts the program of the line run with further arguments, from the root; its log is
# $TMP/NAME.log and its process $PID. Waits until it is ready.
sidecar() {
	local name=$1
	shift
	(cd "$ROOT" && exec bin/quillfront "$@") >>"$TMP/$name.log" 2>&1 &
	PID=$!
	PIDS+=("$PID")
	for _ in $(seq 200); do
		if grep -q 'msg=ready' "$TMP/$name.log" 2>/dev/null; then
			return 0
		fi
		kill -0 "$PID" 2>/dev/null || break
		sleep 0.05
	done
	cat "$TMP/$name.log" >>"$RECORD"
	cannot_run "$name does not get ready"
}

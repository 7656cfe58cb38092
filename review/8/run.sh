#!/usr/bin/env bash
# See claim.txt. TROUBLE=0 runs it without the disruption.
set -u
HERE=$(cd "$(dirname "$0")" && pwd)
. "$HERE/../lib-2/case.sh"

FLAG=true
[ "$TROUBLE" = 1 ] || FLAG=false
"$ROOT/bin/review2" upgrade-ids --root "$ROOT" --dir "$TMP" --record "$RECORD" --trouble="$FLAG" &
PIDS+=("$!")
wait "$!"
exit "$?"

#!/usr/bin/env bash
# Builds the stand-ins and judges of the cases into review/bin. The deploy file's build has to have run before.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
for dir in review/[1-5]; do
	CGO_ENABLED=1 go build -tags review -o "review/bin/case-${dir##*/}" "./$dir"
done

#!/usr/bin/env bash
# Lays beside these site files what the bench wants there, from the kit; git ignores it. The bench can then play them:
#   deploy/sites/lay.sh && ../given/kit/more/mass/bin/lbreal score deploy/sites/quick-till.toml --panel brink --seed 1 --why "..."
set -euo pipefail
here=$(cd "$(dirname "$0")" && pwd)
kit=$here/../../../given/kit/more/mass/other
for f in real.json wire.json unlock.txt; do
	[ -f "$kit/$f" ] || { echo "lay.sh: there is no ../given/kit/more/mass/other/$f beside this project" >&2; exit 1; }
	cp "$kit/$f" "$here/$f"
done

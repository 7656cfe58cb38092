#!/usr/bin/env bash
exec bash "$(dirname "$0")/../case.sh" "$(dirname "$0")"

#!/usr/bin/env bash
# Plays a case: play.sh CASE FOLDER. The processes and their settings live in a
# temporary folder; record.txt is written to FOLDER.
set -uo pipefail
cd "$(dirname "$0")/../.."
if [ ! -x target/review/cases ] || [ ! -x target/Source/Daemon/almondspoked ]; then
  echo "build the daemon by the command of deploy/system.toml, then run review/build.sh" >&2
  exit 2
fi
REVIEW_FOLDER=$(mktemp -d)
export REVIEW_FOLDER
timeout --kill-after=2 115 target/review/cases "$1" "$2/record.txt"
status=$?
[ -z "${KEEP_LOGS:-}" ] || cp -r "$REVIEW_FOLDER" "$KEEP_LOGS"
rm -rf "$REVIEW_FOLDER"
case $status in 0 | 1) exit $status ;; *) exit 2 ;; esac

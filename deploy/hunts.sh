#!/usr/bin/env bash
# Plays hunts of the bench on a list of deployments, one after the other, and appends a summary line for each.
# A deployment that has a line for the current commit in the summary file is skipped, so that an interrupted series
# can be resumed.
#
# Usage: deploy/hunts.sh BENCH SUMMARY JOBS DAYS:SITE...
#   BENCH    path of the bench's program
#   SUMMARY  file for the summary lines; the output of each hunt is written beside it
#   JOBS     days that are played at a time
#   DAYS:SITE  number of days and path of the site file
set -uo pipefail
if [ $# -lt 4 ]; then
    sed -n 's/^# \{0,1\}//p' "$0" | sed -n '2,$p' >&2
    exit 2
fi
bench=$1 summary=$2 jobs=$3
shift 3
commit=$(git rev-parse --short HEAD)
result=0
for entry in "$@"; do
    days=${entry%%:*} site=${entry#*:}
    name=$(basename "$site" .toml)
    if grep -q "^$commit $name $days " "$summary" 2>/dev/null; then
        continue
    fi
    output="$(dirname "$summary")/hunt-$commit-$name.txt"
    started=$(date +%s)
    "$bench" hunt "$site" --days "$days" --jobs "$jobs" --why "hunt of $days days at $commit" >"$output" 2>&1
    status=$?
    broken=$(grep -c BROKEN "$output")
    last=$(grep -v '^snapshot' "$output" | tail -n 1 | cut -c 1-160)
    if [ "$status" -ne 0 ] || [ "$broken" -ne 0 ]; then
        result=1
    fi
    echo "$commit $name $days days, exit $status, $broken with a broken rule, $(($(date +%s) - started)) s: $last" |
        tee -a "$summary"
done
exit $result

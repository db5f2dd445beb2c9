#!/usr/bin/env bash
# Plays a case: run_case.sh NAME FOLDER. The exit code is 1 if the rule was broken, 0 if it held, 2 if the case could
# not run. All processes that were started are ended by their ids.
set -uo pipefail
here="$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)"
root="$(cd "$here/.." && pwd)"
rig="$root/target/review/release/review-rig"
if [ ! -x "$rig" ] || [ ! -x "$root/target/release/coltsfoothook-gateway" ]; then
    echo "build first: the deploy file's build, then review/build.sh" >&2
    exit 2
fi
work="$(mktemp -d)" || exit 2
rig_id=""
end_all() {
    [ -n "$rig_id" ] && kill -KILL "$rig_id" 2>/dev/null
    [ -f "$work/pids" ] && while read -r id; do
        # Only what still is a process of this case.
        if grep -qs -e review-rig -e coltsfoothook-gateway "/proc/$id/cmdline"; then
            kill -KILL "$id" 2>/dev/null
        fi
    done <"$work/pids"
    rm -rf "$work"
}
trap end_all EXIT
trap 'exit 2' INT TERM HUP
record="$2/record.txt"
: >"$record" || exit 2
cd "$root" || exit 2
"$rig" case "$1" "$work" "$record" &
rig_id=$!
wait "$rig_id"
code=$?
rig_id=""
[ -n "${KEEP_LOGS:-}" ] && cp "$work"/*.log "$KEEP_LOGS" 2>/dev/null
case "$code" in 0 | 1) exit "$code" ;; *) exit 2 ;; esac

#!/bin/sh
# run_case_2.sh CASE FOLDER: plays a case of the package rig-2 and writes FOLDER/record.txt.
# Ends with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
review=$(CDPATH= cd -- "$(dirname -- "$0")" && pwd) || exit 2
rig=$review/rig-2/target/release/review-rig-2
if [ ! -x "$rig" ] || [ ! -x "$review/../target/release/coltsfoothook-gateway" ]; then
    echo "build first: the deploy file's build, then review/build-2.sh" >&2
    exit 2
fi
temporary=$(mktemp -d) || exit 2
pid=
finish() {
    if [ -n "$pid" ]; then
        kill -KILL "$pid" 2>/dev/null
        # The rig was ended, and its children are left. At its own end it ends them itself.
        [ -f "$temporary/ids" ] && xargs -r kill -KILL <"$temporary/ids" 2>/dev/null
    fi
    rm -rf "$temporary"
}
trap finish EXIT
trap 'exit 2' HUP INT TERM
TMPDIR=$temporary REVIEW_IDS=$temporary/ids "$rig" "$1" "$review/.." "$2" &
pid=$!
wait "$pid"
result=$?
pid=
case $result in 0 | 1) exit $result ;; *) exit 2 ;; esac

#!/bin/sh
# run-case.sh CASE FOLDER: runs a case in a temporary folder and ends what it started.
cd "$(dirname "$0")/.." || exit 2
[ -x target/release/medlarspurd ] && [ -x target/review/standin ] || {
    echo "build first: the command of the deploy file, then review/build.sh"
    exit 2
}
dir=$(mktemp -d) || exit 2
timeout -k 2 118 target/review/standin "$1" "review/$2/record.txt" "$dir"
result=$?
# Instances are left only if the stand-in itself was ended.
if [ $result -gt 2 ] && [ -f "$dir/pids" ]; then
    while read -r pid; do kill -9 "$pid" 2>/dev/null; done <"$dir/pids"
    result=2
fi
[ -z "${KEEP:-}" ] && rm -rf "$dir"
exit $result

#!/bin/sh
# Runs one case: run-case.sh FOLDER CLASS. Exit status: 1 rule broken, 0 held, 2 could not run.
folder=$(cd "$(dirname "$1")" && pwd)/$(basename "$1")
cd "$(dirname "$0")/.." || exit 2
[ -x target/runtime/bin/java ] && [ -d target/review ] || { echo "build first" >&2; exit 2; }
exec target/runtime/bin/java -Xmx1g -cp target/review "$2" "$folder"

#!/bin/sh
# Builds the stand-ins of cases 6 to 10 into target/review-2; needs any JDK from 17 on.
set -eu
cd "$(dirname "$0")/.."
javac=
for found in "${JAVA_HOME:-/none}/bin/javac" "$(command -v javac || true)" /usr/lib/jvm/*/bin/javac; do
    if [ -x "$found" ] && "$found" --release 17 --version >/dev/null 2>&1; then
        javac=$found
        break
    fi
done
[ -n "$javac" ] || { echo "no JDK from 17 on found" >&2; exit 1; }
rm -rf target/review-2
mkdir -p target/review-2
"$javac" --release 17 -Xlint:all -d target/review-2 review/standin-2/*.java

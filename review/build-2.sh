#!/bin/sh
# Builds the stand-ins of cases 6 to 10 into target/review-2, with the JDK that the build uses (25).
set -eu
cd "$(dirname "$0")/.."
javac=
for found in "${JAVA_HOME:-/none}/bin/javac" "$(command -v javac || true)" \
        /usr/lib/jvm/*/bin/javac /opt/*/bin/javac "$HOME"/.jdks/*/bin/javac \
        $(sed -n 's:.*<jdkHome>\(.*\)</jdkHome>.*:\1/bin/javac:p' \
                "$HOME"/.m2/toolchains.xml "$HOME"/.m2/discovered-jdk-toolchains-cache.xml 2>/dev/null); do
    if [ -x "$found" ] && "$found" --release 25 --version >/dev/null 2>&1; then
        javac=$found
        break
    fi
done
[ -n "$javac" ] || { echo "no JDK 25 found" >&2; exit 1; }
rm -rf target/review-2
mkdir -p target/review-2
"$javac" --release 25 -encoding UTF-8 -Xlint:all,-restricted -d target/review-2 review/standin-2/*.java

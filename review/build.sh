#!/bin/sh
# Builds the stand-ins of all scripts into target/review. They use the JDK's base module only.
set -e
cd "$(dirname "$0")/.."
javac=${JAVA_HOME:+$JAVA_HOME/bin/javac}
[ -n "$javac" ] && [ -x "$javac" ] || javac=javac
mkdir -p target/review
"$javac" --release 17 -d target/review review/standin/*.java

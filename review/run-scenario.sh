#!/bin/sh
# Runs one scenario of the stand-ins: run-scenario.sh CLASS CASE-FOLDER. Exits with 1 if the rule was
# broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/.." || exit 2
[ -x target/runtime/bin/java ] && [ -f "target/review-2/$1.class" ] || exit 2
timeout -k 5 115 target/runtime/bin/java -Xmx1g --enable-native-access=ALL-UNNAMED \
    --add-opens=java.base/sun.nio.ch=ALL-UNNAMED -cp target/review-2 "$1" "$2"
code=$?
[ "$code" -le 2 ] && exit "$code"
exit 2

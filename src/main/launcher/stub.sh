#!/bin/sh
for java in "$JAVA_HOME/bin/java" "$(command -v java)" /usr/lib/jvm/*/bin/java; do
  [ -x "$java" ] || continue
  major=$("$java" -version 2>&1 | sed -n '1s/.*version "\([0-9]*\).*/\1/p')
  [ "${major:-0}" -ge 25 ] && exec "$java" -XX:+UseSerialGC -XX:TieredStopAtLevel=4 --enable-native-access=ALL-UNNAMED --sun-misc-unsafe-memory-access=allow $HYSSOPTURN_JAVA_OPTS -jar "$0" "$@"
done
echo "hyssopturn: needs Java 25 or later; set JAVA_HOME" >&2
exit 69

#!/bin/sh
# Starts the archive that follows this script. Ends here: the rest of the file is a jar.
find_java() {
    for candidate in "${JAVA_HOME:-/nonexistent}/bin/java" /usr/lib/jvm/*/bin/java "$(command -v java)"; do
        [ -x "$candidate" ] || continue
        version=$("$candidate" -version 2>&1 | sed -n 's/.*version "\([0-9]*\).*/\1/p' | head -n 1)
        if [ -n "$version" ] && [ "$version" -ge 21 ]; then
            echo "$version $candidate"
            return
        fi
    done
}
found=$(find_java)
if [ -z "$found" ]; then
    echo "bilberrylane: no Java 21 or newer found; set JAVA_HOME" >&2
    exit 2
fi
version=${found%% *}
java=${found#* }
flags="-XX:+UseSerialGC -Xss256k -XX:+IgnoreUnrecognizedVMOptions -XX:+UseCompactObjectHeaders"
flags="$flags -XX:CICompilerCount=2 -XX:ReservedCodeCacheSize=24m -Xshare:auto"
flags="$flags --enable-native-access=ALL-UNNAMED -Dio.netty.noUnsafe=false"
[ "$version" -ge 24 ] && flags="$flags --sun-misc-unsafe-memory-access=allow"
case "${1:-}" in
    node)
        flags="$flags -Xms8m -Xmx32m -XX:MaxDirectMemorySize=24m -XX:MaxMetaspaceSize=48m"
        flags="$flags -XX:TieredStopAtLevel=1 -XX:MinHeapFreeRatio=10 -XX:MaxHeapFreeRatio=20"
        flags="$flags -Dio.netty.allocator.type=pooled -Dio.netty.allocator.maxOrder=5"
        flags="$flags -Dio.netty.allocator.numDirectArenas=1 -Dio.netty.allocator.numHeapArenas=1"
        ;;
    capacity) flags="$flags -Xmx1500m" ;;
    load) flags="$flags -Xmx512m -XX:TieredStopAtLevel=1" ;;
    *-standin) flags="$flags -Xmx128m -XX:TieredStopAtLevel=1" ;;
    *) flags="$flags -Xmx128m" ;;
esac
exec "$java" $flags ${BILBERRYLANE_JAVA_FLAGS:-} -jar "$0" "$@"
exit 127

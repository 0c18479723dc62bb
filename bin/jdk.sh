# Sourced by the scripts: sets JAVA_HOME to a JDK of at least version 21, or ends with one line.

MINIMUM_JAVA_VERSION=21

java_version_of() {
    "$1/bin/java" -version 2>&1 | sed -n 's/.*version "\([0-9]*\).*/\1/p' | head -n 1
}

is_fitting_jdk() {
    [ -x "$1/bin/java" ] && [ -x "$1/bin/javac" ] || return 1
    version=$(java_version_of "$1")
    [ -n "$version" ] && [ "$version" -ge "$MINIMUM_JAVA_VERSION" ]
}

select_jdk() {
    if [ -n "${JAVA_HOME:-}" ] && is_fitting_jdk "$JAVA_HOME"; then
        export JAVA_HOME
        return 0
    fi
    best_version=0
    best_home=
    for home in /usr/lib/jvm/*; do
        if is_fitting_jdk "$home" && [ "$version" -gt "$best_version" ]; then
            best_version=$version
            best_home=$home
        fi
    done
    if [ -z "$best_home" ]; then
        echo "bilberrylane: no JDK $MINIMUM_JAVA_VERSION or newer found; set JAVA_HOME" >&2
        exit 2
    fi
    JAVA_HOME=$best_home
    export JAVA_HOME
}

select_jdk

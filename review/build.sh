#!/usr/bin/env bash
# Builds the stand-ins and the clients of the scripts, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
. bin/jdk.sh
rm -rf target/review
mkdir -p target/review
"$JAVA_HOME/bin/javac" --release 21 -d target/review review/standin/*.java
echo "built target/review"

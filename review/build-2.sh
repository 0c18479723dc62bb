#!/usr/bin/env bash
# Builds the stand-ins and cases of the second review into target/review-2. Run after deploy/build.
set -euo pipefail
cd "$(dirname "$0")/.."
. bin/jdk.sh
# The project's own stand-in of the platform is a command of the program.
[ -x target/bilberrylane ] || bin/build -o
rm -rf target/review-2
mkdir -p target/review-2
"$JAVA_HOME/bin/javac" --release 21 -d target/review-2 review/standin-2/*.java
echo "built target/review-2"

#!/usr/bin/env bash
# Builds the stand-ins of the cases 4 to 8 into target/review-2, against the jar of the deploy file's build. Needs a JDK 17 only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac --release 17 -nowarn -d target/review-2 -cp target/beechhoist.jar review/standins-2/*.java

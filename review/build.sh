#!/usr/bin/env bash
# Builds the program (unless the build of the deploy file has done so) and the stand-ins and drivers of the cases.
set -eu
cd "$(dirname "$0")/.."
if [ ! -f target/beechhoist.jar ]; then
    eval "$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/service.toml)"
fi
rm -rf target/review
mkdir -p target/review
javac -nowarn -d target/review -cp target/beechhoist.jar review/standins/*.java

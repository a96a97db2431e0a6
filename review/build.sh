#!/bin/sh
# Compiles the stand-ins and the cases into target/review. Needs the build of the deploy file first; uses no network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -nowarn -d target/review -cp "target/lib/*" $(find review -name '*.java')

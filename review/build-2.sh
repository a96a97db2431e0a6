#!/bin/sh
# Builds the stand-ins of the second review into target/review-2, after the build of the deploy file. Needs a JDK 17 and no network.
set -e
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
find review/kit-2 -name '*.java' > target/review-2.list
javac -nowarn -d target/review-2 -cp "target/lib/*" @target/review-2.list

#!/bin/sh
# Builds the stand-ins of the review's cases: plain Java 17, no dependencies. Output: review/build.
set -eu
cd "$(dirname "$0")"
rm -rf build
mkdir build
javac -Xlint:all,-serial -d build standin/*.java

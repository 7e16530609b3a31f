#!/bin/sh
# Builds the stand-ins of the cases 6 and up, after the build of the deploy file.
set -e
cd "$(dirname "$0")/standin-2"
rm -rf classes
mkdir classes
javac -d classes ./*.java

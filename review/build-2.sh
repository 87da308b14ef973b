#!/bin/sh
# Builds the stand-ins of the second review, after the build of the deploy file.
set -e
cd "$(dirname "$0")"
rm -rf src-2/build
mkdir -p src-2/build
javac -Xlint:all -d src-2/build src-2/*.java

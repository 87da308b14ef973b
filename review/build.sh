#!/bin/sh
# Builds the stand-ins of all cases of this folder; needs a JDK 17 and nothing else. The front itself is built
# by the line `build` of deploy/balancer.toml.
set -eu
cd "$(dirname "$0")"
rm -rf build
mkdir build
javac --release 17 -Xlint:all -d build src/review/*.java

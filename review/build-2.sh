#!/usr/bin/env bash
# Builds the stand-ins and the cases of the second review that are scripts; needs a JDK 17 only.
set -euo pipefail
cd "$(dirname "$0")"
rm -rf stand-ins-2/target
mkdir -p stand-ins-2/target
shopt -s nullglob
javac -d stand-ins-2/target stand-ins-2/*.java 6/*.java 7/*.java 8/*.java 9/*.java 10/*.java

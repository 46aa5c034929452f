#!/bin/sh
# Builds the stand-ins of the cases 11 to 15.
set -e
cd "$(dirname "$0")/stand-ins-3"
rm -rf target
mkdir target
# Case 13 is withdrawn.
javac -d target ./*.java

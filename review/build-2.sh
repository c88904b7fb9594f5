#!/usr/bin/env bash
# Builds the stand-ins of the second review with the JDK that ./build finds. It needs no network.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
java_home=$(./build --java-home)
rm -rf review/target/standins-2
mkdir -p review/target/standins-2
"$java_home/bin/javac" -Xlint:all,-try -d review/target/standins-2 review/standins-2/org/ragworttide/review/*.java

#!/usr/bin/env bash
# Builds the stand-ins of all cases into target/review, with the JDK that builds the project and nothing else.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
java_home=$(./build --java-home)
rm -rf target/review
mkdir -p target/review
cp review/standins/names.properties target/review/
"$java_home/bin/javac" -nowarn -d target/review review/standins/*.java review/[1-5]/*.java

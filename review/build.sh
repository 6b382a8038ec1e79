#!/usr/bin/env bash
# Compiles the stand-ins of all cases. Needs the JDK that builds the project and nothing else.
set -euo pipefail
cd "$(dirname "$0")"
rm -rf target
mkdir -p target
javac -Xlint:all,-serial -Werror -d target standins/*.java

#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. They need the JDK only.
cd "$(dirname "$0")/.." || exit 2
rm -rf target/review-2 && mkdir -p target/review-2 && javac -d target/review-2 review/standins-2/*.java

#!/bin/sh
# Builds the stand-ins and clients that the scripts of this review start. They need the JDK only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
javac -nowarn -d target/review-3 review/harness-3/review3/*.java

#!/bin/sh
# Builds the stand-ins and the clients of the cases 6 to 10 into target/review-2. Needs a JDK 17 and nothing else.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
exec javac -Xlint:all -Werror -d target/review-2 review/harness-2/review2/*.java

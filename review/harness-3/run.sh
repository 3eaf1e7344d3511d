#!/bin/sh
# Runs a case of this review: run.sh CLASS FOLDER. Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -d target/review-3 ] || [ ! -e target/dragonflygw-edge/dragonflygw-edge.jar ]; then
    echo "could not run: build the deploy file and review/build-3.sh first"
    exit 2
fi
exec java -Drecord="$2/record.txt" -cp target/review-3 "review3.$1"

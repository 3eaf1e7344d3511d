#!/usr/bin/env bash
# Bytes that are no response are passed on as an answer. Exits with 1 if MIXED was broken, 0 if it held, 2 if it could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -d target/review ] || exit 2
exec java -Xmx192m -cp target/review CaseMain InvalidStatus review/5/record.txt

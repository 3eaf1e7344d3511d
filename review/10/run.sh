#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
for needed in target/review-2/review2/CaseSilence.class target/dragonflygw-edge/dragonflygw-edge.jar; do
  [ -f "$needed" ] || { echo "$needed is missing: run the build of deploy/system.toml, then review/build-2.sh"; exit 2; }
done
exec java -Xmx1500m -Xss256k -cp target/review-2 review2.CaseSilence review/10

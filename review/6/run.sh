#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 runs it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/fescue-node ] && [ -x target/review-2/standins-2 ] || exit 2
exec target/review-2/standins-2 -case removed-entry -record review/6/record.txt

#!/usr/bin/env bash
# Exit 1: the rule was broken; 0: it held; 2: the case couldn't run. TROUBLE=0: without the disruption.
root=$(cd "$(dirname "$0")/../.." && pwd) || exit 2
number=$(basename "$(cd "$(dirname "$0")" && pwd)")
cd "$root" || exit 2
[ -x "review/build/case-$number" ] && [ -x target/bin/persimmonlb-node ] || exit 2
exec "review/build/case-$number" "review/$number"

#!/usr/bin/env bash
# Runs the case. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. With TROUBLE=0
# it does the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/ryeford ] && [ -x target/review-case ] || exit 2
timeout -k 5 110 target/review-case takeup review/3/record.txt
code=$?
[ $code -le 1 ] && exit $code
exit 2

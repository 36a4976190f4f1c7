#!/bin/sh
# A good version is withdrawn for good after answers were lost for 4 s.
# TROUBLE=0 leaves the disruption out.  Exit status: 0 the rule held, 1 it was
# broken, 2 the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/lab2 ] && [ -x target/bin/vanillahookd ] || exit 2
exec target/review-2/lab2 withdrawn review/4/record.txt

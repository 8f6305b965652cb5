#!/bin/bash
# Runs case 8. See claim.txt.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-2/case-8 --program target/chicoryline --record review/8/record.txt

#!/bin/sh
# Writes record.txt beside it.  Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." && exec timeout 120 python3 review/8/case.py

#!/bin/sh
# Exits with 1 if a read ran on a log without a commit acknowledged before, 0 if not, 2 if it could not run. TROUBLE=0: no disruption.
cd "$(dirname "$0")" && exec python3 -B case.py

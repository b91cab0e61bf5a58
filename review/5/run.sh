#!/bin/sh
# Exits with 1 if an acknowledged commit is missing in the promoted server, 0 if not, 2 if it could not run.
# TROUBLE=0: no disruption. TROUBLE=2: only the second disruption, without the old claim.
cd "$(dirname "$0")" && exec python3 -B case.py

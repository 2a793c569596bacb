#!/bin/sh
# Plays the case; writes what was sent, answered and run to record.txt in this folder. TROUBLE=0 leaves the trouble out.
exec python3 "$(dirname "$0")/case.py"

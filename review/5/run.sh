#!/usr/bin/env bash
# Plays the case: exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 plays it without the disruption.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/review-case ] && [ -x target/agateslip ] || exit 2
exec target/review-case departure-lost "$here"

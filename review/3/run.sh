#!/usr/bin/env bash
# Exit code 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without the disruption.
exec "$(dirname "$0")/../run-case.sh" 3

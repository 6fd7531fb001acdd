#!/usr/bin/env bash
# binary.sh PROGRAM BALANCER.TOML: the program is linked dynamically against the C library, names nothing in it that starts
# a program or a process or that the platform refuses, and `run` ends in it by exec.
set -euo pipefail
program=$1 deploy=$2
readelf -lW "$program" | grep -q 'Requesting program interpreter' || { echo "it is linked statically"; exit 1; }
readelf -dW "$program" | grep -q 'NEEDED.*\[libc\.so' || { echo "it does not need the C library"; exit 1; }
refused='fork|vfork|_Fork|clone|daemon|system|popen|wordexp|exec[lv]p?e?|execvpe|fexecve|execveat|posix_spawnp?|sendfile(64)?|splice|tee|vmsplice|io_uring_.*|socketpair'
if nm -D --undefined-only "$program" | awk '{ sub(/@.*/, "", $NF); print $NF }' | grep -xE "$refused"; then
  echo "it calls what is named above"
  exit 1
fi
grep -qE '^run = "exec build/lemonroute serve"' "$deploy" || { echo "run does not end in one process by exec"; exit 1; }

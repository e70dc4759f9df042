#!/bin/sh
# Checks every stand-in that the scripts start. They are plain Python of the standard
# library and need no build; nothing is written.
cd "$(dirname "$0")" || exit 2
for file in common/*.py */drive.py; do
    python3 -c "import sys; compile(open(sys.argv[1]).read(), sys.argv[1], 'exec')" \
        "$file" || exit 1
done

#!/usr/bin/env bash
# Builds the stand-ins of the cases from 6 on. They are Python and need no build but that
# of the deploy file: this checks that they and the project's stand-in can be loaded.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONDONTWRITEBYTECODE=1
PYTHONPATH=target/deps:review python3 -c "import stage"

#!/usr/bin/env bash
# Builds the stand-ins of the cases, which need no build but that of the deploy file:
# checks that they and the project's stand-ins can be loaded.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONDONTWRITEBYTECODE=1
PYTHONPATH=target/deps:.:platform:platform/tests python3 -c "import soak.store"
PYTHONPATH=review python3 -c "import deployment"

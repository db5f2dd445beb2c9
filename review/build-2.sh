#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. They use the standard library only, so that no package is needed.
set -e
cd "$(dirname "$0")/rig-2"
exec cargo build --release --offline

#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start. It needs no package but the standard library.
set -euo pipefail
here="$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)"
cargo build --release --offline --manifest-path "$here/rig/Cargo.toml" --target-dir "$here/../target/review"

#!/usr/bin/env bash
# Builds the stand-ins of all cases into target/. It needs no network. The gateways are built by the build of
# deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/review-case ./review/case

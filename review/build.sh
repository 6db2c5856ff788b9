#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/. The build of the deploy file comes first.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/review-case ./review/standin

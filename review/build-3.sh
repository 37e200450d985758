#!/usr/bin/env bash
# Builds the stand-ins that the cases of this review start, after the build line of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-standin-3 ./review/standin-3

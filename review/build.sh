#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start. It needs no network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target
go build -buildvcs=false -o target/review-standin ./review/standin

#!/usr/bin/env bash
# Builds what the scripts of this review start besides target/tarragonpoint: one program with all stand-ins.
set -eu
cd "$(dirname "$0")/.."
go build -o bin/review-3 ./review/_harness-3

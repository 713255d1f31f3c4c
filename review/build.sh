#!/usr/bin/env bash
# Builds the stand-ins of the scripts. The deploy build makes the program that they start.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-harness ./review/_tools/harness

#!/bin/sh
# Builds the harness of the scripts of the second review, with all stand-ins that they start. Run it in the root of the repository,
# after the build of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
go build -tags review -o bin/review-harness-2 ./review/harness-2

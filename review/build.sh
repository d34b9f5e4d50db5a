#!/bin/bash
# Builds every stand-in that a case of the review starts, into target/review/. The controller
# itself is built by the command of deploy/service.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for case in review/[0-9]*/; do
	number=$(basename "$case")
	go build -ldflags=-linkmode=external -o "target/review/case$number" "./review/$number"
done

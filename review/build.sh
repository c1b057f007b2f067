#!/bin/sh
# Builds the program that plays the cases, with its stand-ins, as target/review/driver. The build of
# the deploy file has to run before a case, as the cases start target/marigoldcroft.
set -e
cd "$(dirname "$0")/.."
go build -o target/review/ ./review/driver

#!/bin/sh
# Builds the stand-ins that the scripts of the second review start. It runs after the build of the deploy file and needs no
# network beyond the modules that this one needs.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/standins2 ./review/standins2

#!/bin/sh
# Puts the gateway and its libraries into target/deps.
set -eu
cd "$(dirname "$0")/.."
exec python3 deploy/build.py

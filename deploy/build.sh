#!/bin/sh
# Puts the gateway and its libraries into target/deps.
set -eu
cd "$(dirname "$0")/.."
deps=target/deps
if [ ! -e "$deps/.requirements" ] || ! cmp -s deploy/requirements.txt "$deps/.requirements"; then
  python3 -m pip install -q --upgrade --target "$deps" -r deploy/requirements.txt
  cp deploy/requirements.txt "$deps/.requirements"
fi
rm -rf "$deps/bronzebeam"
cp -R src/bronzebeam "$deps/bronzebeam"
python3 -m compileall -q "$deps"

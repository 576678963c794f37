#!/bin/sh
# lay.sh FOLDER: lays the kit's own files, which have to lie beside a site file, here; they are not kept in the repository.
set -eu
test $# -eq 1 || { echo "usage: $0 FOLDER-WITH-THE-KIT'S-SITE-FILES" >&2; exit 2; }
for file in real.json wire.json design.json unlock.txt; do
  cp -f "$1/$file" "$(dirname "$0")/$file"
done

#!/usr/bin/env bash
# Builds what the scripts start besides the programs of the deploy file: the project's
# stand-in of the store, and the stand-ins of workers, clients and platform in stand/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -o review/bin/storestandin ./standin/cmd/storestandin
cd review/stand
go build -o ../bin/stand .

#!/bin/sh
# Starts six gateways before a store and workers of our own. TROUBLE=0 leaves out the outages of the store.
set -u
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.."
exec target/review-2/release/review-standins-2 drain "$folder"

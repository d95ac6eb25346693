#!/bin/sh
# Builds the stand-ins and the driver of the review's scripts, after the build of the deploy
# file. The project's own stand-ins (the store) are linked into it.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -o target/review/drive ./review/_drive

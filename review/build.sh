#!/bin/sh
# Builds the stand-ins of the review's scripts. They are a module of their own without dependencies, so that the
# project's build, checks and tests don't see them.
set -eu
cd "$(dirname "$0")/.standin"
GOWORK=off GOFLAGS=-mod=mod go build -o ../bin/standin .

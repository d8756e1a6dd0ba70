# The ways to build and prove cresspond. `make test` is what CI runs.

SEED ?= 1
VERSION ?= $(shell git describe --always --dirty 2>/dev/null || echo dev)
LDFLAGS = -ldflags "-X main.version=$(VERSION)"

.PHONY: build vet lint unit scenarios rehearsal test fuzz generate

build:
	go build $(LDFLAGS) -o bin/ ./cmd/cresspondd ./cmd/cresspond-platform ./cmd/cresspond ./testbed/cmd/testbed
	ln -sf testbed bin/rehearse

vet:
	@unformatted=$$(gofmt -s -l .); test -z "$$unformatted" || { echo "$$unformatted"; echo "these files are not formatted by gofmt -s"; exit 1; }
	go vet ./... ./testbed/...

# Pinned as a tool in go.mod, configured by staticcheck.conf, without exclusions.
lint:
	go tool staticcheck ./... ./testbed/...
	@unreachable=$$(go tool deadcode -test ./... ./testbed/...) || exit 1; \
		test -z "$$unreachable" || { echo "$$unreachable"; echo "these functions are called from nowhere, not even from tests"; exit 1; }

# What runs daemons over sockets goes by real time: beside simulations that take every core, waits that are
# ample fail. So those packages run after all others, one at a time, and few of their tests at once.
LIVE = testbed/endtoend|testbed/platformtest|testbed/scale

# Tests that fail for a fault not mended yet, one a line in KNOWN-RED.txt; they are passed over and printed.
RED = $(shell cut -d: -f1 KNOWN-RED.txt 2>/dev/null | paste -sd'|' -)
SKIP_RED = $(if $(RED),-skip '^($(RED))$$')

unit:
	@if test -s KNOWN-RED.txt; then echo "passed over, known red:"; cat KNOWN-RED.txt; fi
	go test -race -count=1 -timeout 30m $(SKIP_RED) $$(go list ./... ./testbed/... | grep -v -E '$(LIVE)')
	go test -race -count=1 -timeout 30m -p 1 -parallel 4 $(SKIP_RED) $$(go list ./testbed/... | grep -E '$(LIVE)')

# The name before was rehearsal.
rehearsal: scenarios

scenarios: build
	bin/testbed run small --seed $(SEED)
	bin/testbed run platform --seed $(SEED) --faults 7
	bin/testbed run platform --seed $(SEED) --fault tenant-soak
	bin/testbed run platform --seed $(SEED) --fault config-soak

test: vet lint scenarios unit

# How long each fuzz target runs on, and a pattern of those to run. Their corpora under testdata/fuzz run with the
# unit tests. Where the time ends in the middle of an input the go tool calls that a failure without an input; all
# else that fails is a finding.
FUZZTIME ?= 60s
FUZZ ?= .

fuzz:
	@found=0; for package in $$(grep -rl --include='*_test.go' '^func Fuzz' . | xargs -n1 dirname | sort -u); do \
		for target in $$(grep -h '^func Fuzz' $$package/*_test.go | sed 's/^func \(Fuzz[A-Za-z0-9_]*\).*/\1/' | grep -E '$(FUZZ)'); do \
			echo "$$package $$target"; \
			out=$$(go test -run '^$$' -fuzz "^$$target$$" -fuzztime $(FUZZTIME) -fuzzminimizetime 2s $$package 2>&1) && { echo "$$out" | tail -n 3; continue; }; \
			echo "$$out" | tail -n 40; \
			echo "$$out" | grep -q 'context deadline exceeded' && ! echo "$$out" | grep -q -E 'Failing input|hung or terminated|panic' || found=1; \
		done; \
	done; exit $$found

# Needs protoc, protoc-gen-go and protoc-gen-twirp; what they make is committed.
generate:
	protoc --go_out=. --go_opt=paths=source_relative --twirp_out=. --twirp_opt=paths=source_relative wire/peerapi/peer.proto

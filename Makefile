# Versions of the tools that CI runs.
STATICCHECK := honnef.co/go/tools/cmd/staticcheck@v0.8.2
GOFUMPT := mvdan.cc/gofumpt@v0.12.0

BIN := bin
PACKAGES := ./... ./testkit/...
# Results are not cached: the process tests run binaries that the test cache does
# not know of.
TEST_FLAGS ?= -race -count=1 -timeout 20m
# The tests that KNOWN-RED.txt names are passed over and printed.
KNOWN_RED := $(shell sed -n 's/^test: *\([A-Za-z0-9_]*\).*/\1/p' KNOWN-RED.txt | paste -sd'|' -)
SKIP := $(if $(KNOWN_RED),-skip '^($(KNOWN_RED))$$')

.PHONY: all build test check fmt tidy-check bench demo up fuzz clean

all: build

build:
	go build -o $(BIN)/ ./cmd/...

# The crowds of callers run apart from other tests: they measure memory.
test:
	@sed -n '/^[^#]/p' KNOWN-RED.txt
	go test $(TEST_FLAGS) $(SKIP) $$(go list $(PACKAGES) | grep -v '/callercrowd$$')
	go test $(TEST_FLAGS) $(SKIP) ./testkit/callercrowd

check:
	@unformatted=$$(go run $(GOFUMPT) -l .); \
	if [ -n "$$unformatted" ]; then echo "not formatted:"; echo "$$unformatted"; exit 1; fi
	go vet $(PACKAGES)
	go run $(STATICCHECK) $(PACKAGES)

fmt:
	go run $(GOFUMPT) -w .

tidy-check:
	GOWORK=off go mod tidy -diff
	cd testkit && GOWORK=off go mod tidy -diff

# demo runs a whole site, sends one request of each kind and checks the responses.
demo:
	go build -o $(BIN)/demo ./testkit/cmd/demo
	$(BIN)/demo run

# up keeps a whole site running on fixed ports until interrupted.
up:
	go build -o $(BIN)/demo ./testkit/cmd/demo
	$(BIN)/demo up

# fuzz runs each fuzz target for FUZZTIME.
FUZZTIME ?= 10s
fuzz:
	@set -e; for target in $$(grep -rlE '^func Fuzz' --include=*_test.go pkg platform); do \
		for name in $$(sed -n 's/^func \(Fuzz[A-Za-z0-9]*\).*/\1/p' $$target); do \
			echo "$$name in $$(dirname $$target)"; \
			go test -run '^$$' -fuzz "^$$name$$" -fuzztime $(FUZZTIME) ./$$(dirname $$target); \
		done; \
	done

# soak plays SEEDS histories of requests that crash servers from the seed SEED on, all
# that failed once (SEEDS=failed), or those of CI.
.PHONY: soak
soak:
	cd testkit && SOAK_SEEDS=$(SEEDS) SOAK_SEED=$(SEED) go test -count=1 -v -timeout 60m ./crashhistory

# soak-processes plays SEEDS histories of signals, restarts and spoilt responses from the
# seed SEED on; SHAPE is small, medium or large.
.PHONY: soak-processes
soak-processes:
	cd testkit && SOAK_SEEDS=$(SEEDS) SOAK_SEED=$(SEED) SOAK_SHAPE=$(SHAPE) go test -count=1 -v -timeout 60m -run TestSoak ./serverfaults

# bench compares the policies with their baselines in virtual time.
bench:
	go run ./testkit/bench/pacing
	go run ./testkit/bench/queueing
	go run ./testkit/bench/policy

clean:
	rm -rf $(BIN)

# bench-capacity prints the slopes that docs/CAPACITY.md works with. It takes
# about ten minutes.
.PHONY: bench-capacity
bench-capacity:
	go build -o $(BIN)/capacity ./testkit/bench/capacity
	$(BIN)/capacity $(CAPACITY_FLAGS)

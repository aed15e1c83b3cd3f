# Targets are documented in README.md. Only Go, gcc, make and git are needed.
GO ?= go
BIN := bin

.PHONY: build run test lint tools setup spec bench bench-policy capacity

build:
	$(GO) build -o $(BIN)/ ./cmd/...

run: build
	$(BIN)/ragwort-trial

# The tests of crowds measure memory, so they run alone and without the race detector, whatever the others' result.
test:
	@status=0; \
	$(GO) test -race -timeout 900s ./... || status=1; \
	$(GO) test -tags crowd -count=1 -timeout 600s ./platform/crowd || status=1; \
	exit $$status

lint:
	@test -z "$$(gofmt -l cmd internal platform examples spec)" || { gofmt -l cmd internal platform examples spec; echo "gofmt: files above need formatting"; exit 1; }
	$(GO) vet ./...
	$(GO) vet -tags crowd ./platform/crowd
	$(GO) tool staticcheck ./...
	$(GO) tool staticcheck -tags crowd ./platform/crowd

# The tools of development that go.mod doesn't declare: gopls renames identifiers with all their uses.
tools:
	$(GO) install golang.org/x/tools/gopls@v0.23.0

setup:
	@command -v spin >/dev/null || { apt-get update -q && apt-get install -y -q spin; }

spec: setup
	$(MAKE) -C spec

# Measurements of the request path and the control side, one after the other.
BENCHES := goodput affinity pairs routecost claims authority faults latency

bench: build
	@for b in $(BENCHES); do echo "== ragwort-bench $$b"; $(BIN)/ragwort-bench $$b 2>/dev/null || exit 1; done

bench-policy:
	$(GO) run ./cmd/ragwort-bench policy-table

capacity:
	$(GO) run ./cmd/ragwort-bench capacity

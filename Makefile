GO ?= go
# Duration and seed of `make fuzz`. Without a seed a fresh one is chosen and printed.
T ?= 60s
SEED ?= $(shell date +%s)
LINT_PACKAGES := ./...
RACE_PACKAGES := ./internal/...

.PHONY: all build test demo fuzz lint fmt verify race clean

all: build

build:
	$(GO) build -o bin/tarragonpoint ./cmd/tarragonpoint
	$(GO) build -o bin/standin ./cmd/standin

# Runs both example deployments on this machine for under 90 s and ends by itself.
demo: build
	$(GO) build -o bin/demo ./cmd/demo
	bin/demo

test:
	$(GO) test ./...

race:
	$(GO) test -race -short $(RACE_PACKAGES)

fmt:
	@test -z "$$(gofmt -l cmd internal)" || { gofmt -l cmd internal; echo "run gofmt -w on these files"; exit 1; }

lint: fmt
	$(GO) vet $(LINT_PACKAGES)
	$(GO) tool staticcheck $(LINT_PACKAGES)
	$(GO) tool revive -config revive.toml -set_exit_status $(LINT_PACKAGES)

verify:
	$(GO) mod verify

clean:
	rm -rf bin

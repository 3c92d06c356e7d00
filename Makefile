BIN := bin

.PHONY: build test lint demo clean bench bench-%

build:
	go build -o $(BIN)/ ./cmd/...

test:
	go run ./scripts/runtests ./...

lint:
	./.ci/run

clean:
	rm -rf $(BIN)

demo: build
	go run ./scripts/demo --bin $(BIN)

# All measures in under 10 minutes; results go to docs/figures.
bench: build
	go run ./scripts/bench --bin $(BIN)

# One part: calls, bytes, convergence, traffic, memory, plansize, recovery, pricing or rollouts.
bench-%: build
	go run ./scripts/bench --bin $(BIN) $*

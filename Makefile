BIN := bin

.PHONY: build test lint demo clean

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

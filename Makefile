# Everything here needs only Go.
GO ?= go
FUZZ_SECONDS ?= 3
RACE ?= -race
KNOWN_RED := $(shell sed -n 's/^test: *//p' KNOWN-RED.txt 2>/dev/null | paste -sd'|' -)
SKIP := $(if $(KNOWN_RED),-skip '^($(KNOWN_RED))$$',)

.PHONY: build test check unit fuzz smoke quickstart format protogen

build:
	$(GO) build -o bin/ ./cmd/...

# test is the whole verdict of CI.
test: check unit fuzz smoke

check:
	@test -z "$$($(GO) tool gofumpt -l $$(git ls-files '*.go' | grep -v '\.pb\.go$$'))" || \
		{ $(GO) tool gofumpt -l $$(git ls-files '*.go' | grep -v '\.pb\.go$$'); echo "run make format"; exit 1; }
	$(GO) tool revive -config revive.toml -set_exit_status -exclude ./mcmessage/... ./...
	$(GO) vet ./...
	$(GO) build ./...

unit:
	@if [ -n "$(KNOWN_RED)" ]; then echo "known red, not run: $(KNOWN_RED)"; fi
	$(GO) test $(RACE) $(SKIP) ./...

# Each fuzz target runs alone, as go test accepts one target at a time.
fuzz:
	@for f in $$(git grep -l '^func Fuzz' -- '*_test.go'); do \
		for t in $$(sed -n 's/^func \(Fuzz[A-Za-z0-9]*\).*/\1/p' $$f); do \
			$(GO) test -run '^$$' -fuzz "^$$t$$" -fuzztime $(FUZZ_SECONDS)s ./$$(dirname $$f) || exit 1; \
		done; \
	done

smoke: build
	$(GO) run ./scripts/quickstart

quickstart: build
	$(GO) run ./scripts/quickstart

format:
	$(GO) tool gofumpt -w $$(git ls-files '*.go' | grep -v '\.pb\.go$$')

protogen:
	$(GO) run ./tools/protogen

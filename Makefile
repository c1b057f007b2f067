# Everything here needs only Go.
GO ?= go
FUZZ_RUNS ?= 40000
RACE ?= -race
# The crowds of callers in cmd/marigoldcroft run one at a time. With the race detector on a busy
# machine, the package takes longer than the 10 minutes that go test allows by default.
TEST_TIMEOUT ?= 30m
KNOWN_RED := $(shell sed -n 's/^test: *//p' KNOWN-RED.txt 2>/dev/null | paste -sd'|' -)
SKIP := $(if $(KNOWN_RED),-skip '^($(KNOWN_RED))$$',)

# Property tests draw from one seed, so that the verdict is the same on every run.
RAPID_SEED ?= 20261204
RAPID_PACKAGES := $(addprefix marigoldcroft/,$(shell git grep -l pgregory.net/rapid -- '*_test.go' | xargs -n1 dirname | sort -u))

.PHONY: build test check unit random fuzz smoke quickstart soak format protogen

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
	$(GO) test -timeout $(TEST_TIMEOUT) $(RACE) $(SKIP) $(filter-out $(RAPID_PACKAGES),$(shell $(GO) list ./...))
	$(GO) test -timeout $(TEST_TIMEOUT) $(RACE) $(SKIP) $(RAPID_PACKAGES) -rapid.seed=$(RAPID_SEED)

# random runs the property tests with fresh seeds; a failure prints its seed.
random:
	$(GO) test -count=1 $(RACE) $(SKIP) $(RAPID_PACKAGES)

# Each fuzz target runs alone, as go test accepts one target at a time.
fuzz:
	@for f in $$(git grep -l '^func Fuzz' -- '*_test.go'); do \
		for t in $$(sed -n 's/^func \(Fuzz[A-Za-z0-9]*\).*/\1/p' $$f); do \
			$(GO) test -run '^$$' -fuzz "^$$t$$" -fuzztime $(FUZZ_RUNS)x ./$$(dirname $$f) || exit 1; \
		done; \
	done

smoke: build
	$(GO) run ./scripts/quickstart

quickstart: build
	$(GO) run ./scripts/quickstart

# soak runs real processes under faults of fresh seeds; docs/soak.md.
soak:
	$(GO) run ./scripts/soak --seeds 8 --parallel 2

format:
	$(GO) tool gofumpt -w $$(git ls-files '*.go' | grep -v '\.pb\.go$$')

protogen:
	$(GO) run ./tools/protogen

# Build, test and maintenance targets of fescuestand. `make help` lists them.

GO          ?= go
BIN         := $(CURDIR)/bin
CACHE_BIN   := $(CURDIR)/.cache/bin
LINT_VERSION := v2.15.0
LINT        := $(CACHE_BIN)/golangci-lint-$(LINT_VERSION)
GOPLS_VERSION := v0.22.0
GOPLS       := $(CACHE_BIN)/gopls-$(GOPLS_VERSION)
PROTOC_GEN  := $(CACHE_BIN)/protoc-gen-go
DEPLOYMENT  ?= lakeshore

.PHONY: help build demo test bench fmt lint rename generate clean

help: ## list the targets
	@grep -hE '^[a-z]+:.*##' $(MAKEFILE_LIST) | sed 's/:.*## /\t/'

build: ## build every binary into bin/
	$(GO) build -o $(BIN)/ ./cmd/...

demo: build ## serve a changing mix of requests on stand-ins (DEPLOYMENT=lakeshore|cevallos)
	$(GO) run ./internal/demo/run --bin $(BIN) --deployment $(DEPLOYMENT)

# Packages with simulations on a fake clock, tested without the race detector. They run thousands of
# simulated seconds on a few goroutines; the same code runs under the race detector in internal/entry and
# in the scenarios, whose binaries are built with it. Its runtime has also crashed in these simulations
# (ThreadSanitizer CHECK). The worlds of simworld take three times as long with it.
SIMULATED := restoresim|simworld|policy/backpressure|commit|swim|control|fold|lease|reconcile|replica|policy/loadtest|policy/policytest|policy/roles

# SKIP lists tests to skip, as TestName or TestName/subtest, separated by spaces.
empty :=
space := $(empty) $(empty)
skipping = $(if $(1),-skip '$(subst $(space),|,$(foreach t,$(1),^$(subst /,$$/^,$(t))$$))')

# Tests of memory and descriptors, which run one at a time and beside nothing else.
ALONE := TestCrowdsLeaveOrdinaryCallersAnswers TestCrowdsLeaveTheOwnInterface

test: ## run every test, with the race detector except in simulations
	@# -count=1 because the test cache doesn't detect changes of the binaries that the scenarios build.
	$(GO) test -race -count=1 -timeout 20m $(call skipping,$(SKIP) $(ALONE)) $$($(GO) list ./... | grep -vE '/internal/($(SIMULATED))$$')
	$(GO) test -count=1 -timeout 20m $(call skipping,$(SKIP)) $$($(GO) list ./... | grep -E '/internal/($(SIMULATED))$$')
	$(GO) test -count=1 -timeout 20m $(call skipping,$(SKIP)) -run '^($(subst $(space),|,$(ALONE)))$$' ./scenarios

bench: ## run the benchmarks for docs/CAPACITY.md and docs/MEASUREMENTS.md
	$(GO) test -run '^$$' -bench . -benchmem ./...

fmt: $(LINT) ## format the code
	$(LINT) fmt ./...

lint: $(LINT) ## check the formatting and run the linter
	$(LINT) fmt --diff ./...
	$(LINT) run ./...

rename: $(GOPLS) ## rename an identifier everywhere (AT=FILE:LINE:COLUMN TO=NewName)
	$(GOPLS) rename -w $(AT) $(TO)

generate: $(PROTOC_GEN) ## regenerate internal/wire (needs protoc from Debian's protobuf-compiler)
	PATH=$(CACHE_BIN):$$PATH protoc -I proto --go_out=. --go_opt=module=fescuestand proto/*.proto

$(LINT):
	mkdir -p $(CACHE_BIN)
	GOBIN=$(CACHE_BIN) $(GO) install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(LINT_VERSION)
	mv $(CACHE_BIN)/golangci-lint $(LINT)

$(GOPLS):
	mkdir -p $(CACHE_BIN)
	GOBIN=$(CACHE_BIN) $(GO) install golang.org/x/tools/gopls@$(GOPLS_VERSION)
	mv $(CACHE_BIN)/gopls $(GOPLS)

$(PROTOC_GEN):
	mkdir -p $(CACHE_BIN)
	GOBIN=$(CACHE_BIN) $(GO) install google.golang.org/protobuf/cmd/protoc-gen-go

clean: ## remove build output and tools
	rm -rf $(BIN) $(CACHE_BIN)

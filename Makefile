GOLANGCI_VERSION := v2.15.0
GOLANGCI := tools/bin/golangci-lint
# Packages that start goroutines are also tested under the race detector. Those left
# out here are single-threaded by design; cmd has no tests.
RACE := $(shell go list ./... | grep -v -E '/(cmd|bench|catalog|claim|control|distribution|lease|membership|quota|rendezvous|soak)(/|$$)')
SEEDS ?= 200
STEPS ?= 400
export CGO_ENABLED := 1

.PHONY: all build test format lint vet link unit race known-red demo bench soak faultsoak capacity generate

all: build

build:
	go build -o bin/ ./cmd/...

# Runs every check that CI runs.
test: format vet lint build link unit race known-red

# Prints the entries of KNOWN-RED.txt, which go test does not run.
known-red:
	@if [ -f KNOWN-RED.txt ]; then cat KNOWN-RED.txt; fi

format:
	@files=$$(gofmt -l $$(git ls-files '*.go')); test -z "$$files" || { echo "not formatted: $$files"; exit 1; }

vet:
	go vet ./...

$(GOLANGCI):
	GOBIN=$(CURDIR)/tools/bin go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(GOLANGCI_VERSION)

lint: $(GOLANGCI)
	$(GOLANGCI) run ./...

# Checks that the programs are linked dynamically to the C library.
link: build
	@for f in bin/*; do readelf -d $$f | grep -q 'NEEDED.*libc\.so' || { echo "$$f is not linked to the C library"; exit 1; }; done

unit:
	go test ./...

race:
	go test -race $(RACE)

generate:
	PATH=$(CURDIR)/tools/bin:$$PATH protoc --go_out=. --go_opt=module=knapweedhoist wire/*.proto

# Runs the main use cases on a sample deployment, and entry instances on stand-ins of the users' platform. Fails if a
# check of the outcomes fails.
demo: build
	bin/hoistdev demo
	bin/hoistdev platform

# Compares the policy with earlier versions and baselines, and runs the Go benchmarks of the hot paths.
bench: build
	bin/hoistdev bench policy --seed 1 --out docs/measurements/policy | tee docs/measurements/policy/seed-1.txt
	go test -run '^$$' -bench . -benchmem ./routing ./gateway ./request ./peer ./membership ./internal/devtool

# Measures the resource use of entry daemons, each a separate process; takes about eight minutes.
MEASURED := docs/measurements
capacity: build
	tools/capacity.sh $(MEASURED)/capacity-idle.csv "1 2 4 8 16 32 60" 107 20 0
	tools/capacity.sh $(MEASURED)/capacity-4dc.csv "60" 107 20 0 4
	tools/capacity.sh $(MEASURED)/capacity-changes.csv "30" 107 20 0 1 20
	tools/capacity.sh $(MEASURED)/capacity-load.csv "8" 107 20 200
	bin/hoistdev plot --table $(MEASURED)/capacity-idle.csv --out $(MEASURED)/capacity-idle.svg \
		--column cpu_mean_percent --column rss_mean_mb --column heartbeat_bytes_per_s --column load_reads_per_s

# Simulates the whole system under random failures: SEEDS runs of STEPS steps each.
# A failing run prints the command that replays it.
soak:
	SOAK_SEEDS=$(SEEDS) SOAK_STEPS=$(STEPS) go test ./soak -count=1 -timeout 0 -run TestGuaranteesHold -v

# Runs entry daemons as processes: SEEDS runs, each under its own series of faults.
# A failing run prints the command that replays it; FAULTSOAK_LOGS=DIR keeps the daemons' logs.
faultsoak:
	FAULTSOAK_SEED=$$(date +%s) FAULTSOAK_SEEDS=$(SEEDS) FAULTSOAK_STEPS=40 go test ./faultsoak -count=1 -timeout 0 -v

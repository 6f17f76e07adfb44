# make demo: set up, build, run the main job.   make check: set up, build, run every test.
BUILD ?= build

.PHONY: demo check setup build test format format-check tidy sanitize generate measure cost latency faults

demo: setup build
	scripts/demo.sh $(BUILD)

check: setup format-check build test faults sanitize tidy

setup:
	scripts/setup.sh

build:
	cmake -S . -B $(BUILD) -G Ninja
	cmake --build $(BUILD)

test: build
	scripts/run-tests.sh $(BUILD)

# Faults of control instances between real processes.
faults: build
	scripts/control-faults.sh $(BUILD)

# Idle and loaded cost of a daemon, and the time until a contract change is in force at 17 entries.
cost: build
	scripts/cost.sh $(BUILD)
	scripts/propagation.sh $(BUILD)

# Latency and CPU time that entries add to a call.
latency: build
	scripts/latency.sh $(BUILD)

# Unit tests only: the process tests start other programs and run in the plain build.
sanitize:
	cmake -S . -B $(BUILD)-sanitize -G Ninja -DGALENABARROW_SANITIZE=ON
	cmake --build $(BUILD)-sanitize
	scripts/run-tests.sh $(BUILD)-sanitize --unit

format:
	scripts/sources.sh | xargs clang-format -i

format-check:
	scripts/sources.sh | xargs clang-format --dry-run -Werror

tidy: build
	scripts/tidy.sh $(BUILD)

# The tables of docs/measurements.md; takes some minutes.
measure: build
	$(BUILD)/bin/galenabarrow-measure --strategy least-expected-delay --markdown
	$(BUILD)/bin/galenabarrow-measure --strategy round-robin --lag 50 --markdown
	$(BUILD)/bin/galenabarrow-measure --chain

# Needs flatbuffers-compiler; its output is committed.
generate:
	flatc --cpp --cpp-std c++17 --scoped-enums --gen-object-api -o packages/routing/routing/generated packages/routing/routing/routing.fbs
	flatc --cpp --cpp-std c++17 --scoped-enums -o packages/wire/wire/generated packages/wire/wire/messages.fbs
	flatc --cpp --cpp-std c++17 --scoped-enums -o packages/control/control/generated packages/control/control/control.fbs
	flatc --cpp --cpp-std c++17 --scoped-enums -o packages/membership/membership/generated packages/membership/membership/gossip.fbs
	flatc --cpp --cpp-std c++17 --scoped-enums -o packages/limits/limits/generated packages/limits/limits/shares.fbs
	flatc --cpp --cpp-std c++17 --scoped-enums -o packages/entry/entry/generated packages/entry/entry/waits.fbs

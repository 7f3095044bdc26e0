# Entry points for users and CI. `make demo` and `make test` install what they
# need on a fresh Debian machine.
JOBS ?= $(shell nproc)
BUILD ?= build

.PHONY: setup build test soak demo format lint sanitize fuzz clean

setup:
	bash scripts/setup.sh

build: setup
	cmake -S . -B $(BUILD) -G Ninja
	cmake --build $(BUILD) -j $(JOBS)

test: build
	ctest --test-dir $(BUILD) --output-on-failure -j $(JOBS)

# `make soak SCENARIO=name SEED=n RUNS=k`; `build/soak --list` names the scenarios.
SCENARIO ?= all
RUNS ?= 1
soak: build
	$(BUILD)/soak --binary $(BUILD)/teaselwalk --scenario $(SCENARIO) --seed $(SEED) --runs $(RUNS) --logs $(BUILD)/soak-logs

demo: build
	bash scripts/demo.sh $(BUILD)/teaselwalk

format:
	find include src platform examples -name '*.[ch]pp' | xargs clang-format -i

lint: build
	bash scripts/lint.sh $(BUILD) $(JOBS)

sanitize: setup
	cmake -S . -B $(BUILD)-sanitize -G Ninja -DTEASELWALK_SANITIZE=ON -DCMAKE_BUILD_TYPE=Debug
	cmake --build $(BUILD)-sanitize -j $(JOBS)
	ctest --test-dir $(BUILD)-sanitize --output-on-failure -j $(JOBS)

# `make fuzz SEED=n CASES=k`; the default seed is the one of CI.
SEED ?= 20261204
CASES ?= 300
fuzz: build
	FUZZ_SEED=$(SEED) FUZZ_CASES=$(CASES) $(BUILD)/src/teaselwalk/world/fuzz --gtest_filter='FuzzTest.*'

clean:
	rm -rf build build-sanitize

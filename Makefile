# make            builds build/fescuenotch
# make demo       sets up, builds and shows the whole path in separate processes
# make test       sets up, builds and runs every test
# make soak       real nodes under faults: SEEDS="1 2 3" one run for each
# make bench      runs every experiment; tables and plots under build/report/
# make lint       formatter and linter
BUILD ?= build
PACKAGES := curl g++ cmake ninja-build libboost1.81-dev libboost-log1.81-dev libboost-test1.81-dev libmicrohttpd-dev \
	libcurl4-openssl-dev libpopt-dev libflatbuffers-dev nlohmann-json3-dev libxxhash-dev \
	zlib1g-dev
LINT_PACKAGES := clang-format clang-tidy

SEEDS ?= 1 2 3 4 5

.PHONY: all setup setup-lint configure demo test test-asan test-tsan soak bench lint format clean

all: configure
	cmake --build $(BUILD)

# Installs what is missing; on a machine that has everything it asks no registry.
setup:
	@bash tools/install_packages.sh $(PACKAGES)

setup-lint:
	@bash tools/install_packages.sh $(PACKAGES) $(LINT_PACKAGES)

configure: setup
	@cmake -S . -B $(BUILD) -G Ninja $(CMAKE_FLAGS) > $(BUILD)-configure.log 2>&1 || (cat $(BUILD)-configure.log; exit 1)
	@rm -f $(BUILD)-configure.log

demo: all
	bash tools/demo.sh $(BUILD)

test: all
	bash tools/run_tests.sh $(BUILD)

test-asan:
	$(MAKE) test BUILD=build-asan CMAKE_FLAGS=-DFESCUENOTCH_SANITIZE=address

test-tsan:
	$(MAKE) test BUILD=build-tsan CMAKE_FLAGS=-DFESCUENOTCH_SANITIZE=thread

soak: all
	@failed=0; for seed in $(SEEDS); do FESCUENOTCH_BUILD=$(BUILD) $(BUILD)/fescuenotch-soak --seed $$seed --rounds 8 || failed=1; done; exit $$failed

bench: all
	bash tools/bench.sh $(BUILD)

format:
	git ls-files '*.cpp' '*.h' | grep -v _generated.h | xargs clang-format -i

lint: setup-lint configure
	bash tools/lint.sh $(BUILD)

clean:
	rm -rf build build-asan build-tsan

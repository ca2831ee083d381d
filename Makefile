# make all     builds the programs, the stand-ins and the tests
# make check   installs what is missing, builds, and runs all tests
# make demo    installs what is missing, builds, and shows the whole path on loopback
# make bench   prints the figures of docs/MEASUREMENTS.md
# make format  rewrites the sources in the project's format
BUILD	?= check
OUT	?= build
DIRECT	:= daisydirectd daisystaged
PROGS	:= daisyentryd daisyslotd daisyctl daisybench daisycheck $(DIRECT)
TESTS	:= regress/standin regress/scenario regress/direct regress/slices regress/unit
DIRS	:= $(foreach d,$(PROGS) $(TESTS),$(if $(wildcard $(d)/*.c),$(d)))
SOURCES	:= $(shell git ls-files -co --exclude-standard '*.c' '*.h' | grep -v '\.pb-c\.')

all: lib platform $(DIRS)

# What runs on the users' platform, without the tests.
direct: lib platform $(DIRECT)

lib:
	$(MAKE) -C lib BUILD=$(BUILD) OUT=$(OUT)

platform:
	$(MAKE) -C platform BUILD=$(BUILD) OUT=$(OUT)

regress/slices: $(DIRECT)
regress/unit: regress/slices

$(DIRS): lib platform
	$(MAKE) -C $@ BUILD=$(BUILD) OUT=$(OUT)

deps:
	@sh scripts/deps.sh

check: deps
	$(MAKE) all BUILD=check
	sh scripts/check.sh build/check/bin

demo: deps
	$(MAKE) all BUILD=fast
	sh scripts/demo.sh build/fast/bin

bench: deps
	$(MAKE) all BUILD=fast
	sh scripts/bench.sh build/fast/bin

soak: deps
	$(MAKE) all BUILD=check
	sh scripts/soak.sh build/check/bin

format:
	clang-format -i $(SOURCES)

format-check:
	clang-format --dry-run --Werror $(SOURCES)

lint:
	sh scripts/lint.sh

# The generated code is committed; this makes it anew.
wire:
	protoc-c --c_out=lib/kernel --proto_path=lib/kernel lib/kernel/wire.proto

clean:
	rm -rf build

.PHONY: all lib platform direct deps check demo bench soak format format-check lint wire clean $(DIRS)

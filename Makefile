# Thin front of the CMake build.  `make help' lists the targets.
BUILD ?= build
JOBS ?= $(shell nproc)
PREFIX ?= /usr/local
SOURCES = $(shell git ls-files -co --exclude-standard 'packages/*.[ch]' \
  'tests/*.[ch]' 'bench/*.[ch]' 'examples/*.[ch]' 'platform/*.[ch]' | grep -v 'wire/proto')

.PHONY: all deps build asan demo demo-rollout check bench bench-slopes format \
  format-check lint docs-check leaks install clean help

all: build

help:
	@echo "make [build] | demo | demo-rollout | check | bench | bench-slopes |"
	@echo "     format | lint | docs-check |"
	@echo "     leaks | install [DESTDIR=FOLDER] [PREFIX=/usr/local] | clean"

deps:
	@scripts/install-deps

build:
	@cmake -S . -B $(BUILD) >/dev/null
	@cmake --build $(BUILD) -j $(JOBS)

asan:
	@cmake -S . -B build-asan -DSANITIZE=ON >/dev/null
	@cmake --build build-asan -j $(JOBS)

check: deps
	@scripts/check

demo: deps build
	@scripts/demo

demo-rollout: deps build
	@scripts/demo-rollout

bench-slopes: deps build
	@scripts/bench-slopes $(BUILD)

bench: deps build
	@scripts/bench

format:
	@clang-format -i $(SOURCES)

format-check:
	@clang-format --dry-run --Werror $(SOURCES)

lint: build
	@scripts/lint $(BUILD)
	@scripts/cppcheck
	@scripts/check-dependencies
	@scripts/check-platform

docs-check: build
	@scripts/check-docs $(BUILD)

leaks: build
	@scripts/check-leaks $(BUILD)

install: build
	@DESTDIR=$(DESTDIR) cmake --install $(BUILD) --prefix $(PREFIX) >/dev/null

clean:
	@rm -rf build build-asan

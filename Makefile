# The two commands of the README are `make demo` and `make check`.
PYTHON ?= python3
VENV ?= .venv
BIN = $(VENV)/bin
# Tests of known faults, which .ci/run prints.
KNOWN_RED = $(shell sed -n 's/^  test: */--deselect /p' KNOWN-RED.txt)
SECONDS ?= 60
SEED ?= 1

.PHONY: setup check docs format lint test demo binary thrift soak measure

setup: $(VENV)/installed

$(VENV)/installed: requirements-dev.lock
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --require-hashes -r requirements-dev.lock
	touch $@

check: setup lint test

format: setup
	$(BIN)/ruff format .

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/flake8 .

test: setup
	$(BIN)/python -m pytest -q $(KNOWN_RED)

# Runs the demo with real processes; exits nonzero on a violated guarantee.
demo: setup
	$(BIN)/python -m scenarios.run scenarios/demo.scn --timeline

# Renders the pages that are generated from code; tests compare them.
docs: setup
	$(BIN)/python -m sniperudder codes --markdown > docs/CODES.md
	$(BIN)/python -c 'from sniperudder import settings; \
	  print(settings.render_settings(), end="")' > docs/SETTINGS.md

# Builds an archive of the program and the libraries of this environment.
binary: setup
	rm -rf build
	$(BIN)/python tools/packages.py requirements.lock build/site
	$(BIN)/pip install --quiet --no-index --no-deps --no-build-isolation \
	  --target build/site .
	mkdir -p dist
	$(BIN)/shiv --site-packages build/site --reproducible --compressed \
	  --python '/usr/bin/env python3.11' \
	  --entry-point sniperudder.commands:main --output-file dist/sniperudder

thrift:
	rm -rf sniperudder/peers/gen
	mkdir -p sniperudder/peers/gen
	thrift --gen py:slots,enum -out sniperudder/peers/gen \
		sniperudder/peers/sniperudder.thrift
	rm -f sniperudder/peers/gen/wire/*-remote
	rm -rf sniperudder/digests/gen/wire
	thrift --gen py:slots,enum -out sniperudder/digests/gen \
		sniperudder/digests/digest.thrift
	rm -rf sniperudder/feeds/gen/wire
	thrift --gen py:slots,enum -out sniperudder/feeds/gen \
		sniperudder/feeds/feeds.thrift

# Writes reports/policy.md and reports/policy.png.
measure: setup
	$(BIN)/python -m measurements.policy

# Randomised fault tests of the decision core; a failure prints its seed.
soak: setup
	$(BIN)/python -m measurements.soak $(SECONDS) $(SEED)
	$(BIN)/python -m measurements.orders soak $(SECONDS) $(SEED)
	$(BIN)/python -m measurements.streams $(SECONDS) $(SEED)
	$(BIN)/python -m measurements.callers $(SECONDS) $(SEED)

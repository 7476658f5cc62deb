# The two commands of the README are `make demo` and `make check`.
PYTHON ?= python3
VENV ?= .venv
BIN = $(VENV)/bin
SECONDS ?= 60
SEED ?= 1

.PHONY: setup check format lint test demo binary thrift soak measure

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
	$(BIN)/python -m pytest -q

thrift:
	rm -rf sniperudder/peers/gen
	mkdir -p sniperudder/peers/gen
	thrift --gen py:slots,enum -out sniperudder/peers/gen \
		sniperudder/peers/sniperudder.thrift
	rm -f sniperudder/peers/gen/wire/*-remote

# Front door. Each target installs what it needs into .venv first.
PYTHON ?= python3
BIN := .venv/bin
INSTALLED := .venv/installed

.PHONY: help demo test lint format matrix proofs soak bench relay slopes binary clean

help:
	@echo 'make demo    run the whole path on this machine (KEEP=1 stays)'
	@echo 'make test    run the tests, the fault matrix included'
	@echo 'make lint    check formatting, style and types'
	@echo 'make matrix  run the fault matrix alone'
	@echo 'make proofs  take safeguards out of a copy; their tests must fail'
	@echo 'make soak    run entry hosts under random faults (SEED=1 COUNT=50)'
	@echo 'make relay   measure what the relay costs beside direct calls'
	@echo 'make bench   measure decisions under load and faults'
	@echo 'make slopes  measure what control costs, for docs/CAPACITY.md'
	@echo 'make binary  build dist/jacinthfold, one file'

$(INSTALLED): requirements.txt requirements-dev.txt pyproject.toml
	$(PYTHON) -m venv .venv
	$(BIN)/pip install --quiet -r requirements-dev.txt
	$(BIN)/pip install --quiet --no-deps --editable .
	touch $@

demo: $(INSTALLED)
	$(BIN)/python -m tools.demo $(if $(KEEP),--keep)

test: $(INSTALLED)
	$(BIN)/python -m tools.run_tests

lint: $(INSTALLED)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check --select I .
	$(BIN)/flake8 .
	$(BIN)/mypy

format: $(INSTALLED)
	$(BIN)/ruff check --quiet --select I --fix .
	$(BIN)/ruff format .

matrix: $(INSTALLED)
	$(BIN)/python -m pytest tests/test_matrix.py

proofs: $(INSTALLED)
	$(BIN)/python -m tools.ablate

SEED ?= 1
COUNT ?= 50

soak: $(INSTALLED)
	$(BIN)/python -m tests.gateway.soak --first $(SEED) --count $(COUNT)

relay: $(INSTALLED)
	$(BIN)/python -m bench.relay

bench: $(INSTALLED)
	$(BIN)/python -m bench.run

slopes: $(INSTALLED)
	$(BIN)/python -m bench.slopes

binary: $(INSTALLED)
	$(BIN)/python -m tools.binary

clean:
	rm -rf .venv build dist bench/out

# Every target sets up what it needs in .venv; nothing else has to be installed.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: demo test lint format binary bench golden clean

$(STAMP): requirements-dev.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip -q install --require-hashes -r requirements-dev.lock
	$(BIN)/pip -q install --no-deps --no-build-isolation -e .
	touch $(STAMP)

demo: $(STAMP)
	$(BIN)/cranberrycleat demo

test: $(STAMP)
	$(BIN)/python -m pytest $(PYTEST_ARGS)

golden: $(STAMP)
	$(BIN)/python -m pytest --snapshot-update

lint: $(STAMP)
	$(BIN)/black --check -q cranberrycleat tests
	$(BIN)/isort --check -q cranberrycleat tests
	$(BIN)/flake8 cranberrycleat tests
	$(BIN)/mypy
	$(BIN)/lint-imports

format: $(STAMP)
	$(BIN)/black -q cranberrycleat tests
	$(BIN)/isort -q cranberrycleat tests

# One file: a zip of the package and its locked libraries, run by the host's
# Python. docs/DESIGN.md weighs the ways to build it.
binary: $(STAMP)
	rm -rf build dist/cranberrycleat
	mkdir -p build dist
	$(BIN)/pip -q install --require-hashes --target build/site -r requirements.lock
	$(BIN)/pip -q install --no-deps --no-build-isolation --target build/site .
	$(BIN)/shiv --site-packages build/site -c cranberrycleat --compressed \
		-p '/usr/bin/env python3' -o dist/cranberrycleat

bench: $(STAMP)
	$(BIN)/cranberrycleat bench routing --quick
	$(BIN)/cranberrycleat bench placement --quick
	$(BIN)/cranberrycleat bench control --quick

clean:
	rm -rf $(VENV) build dist *.egg-info

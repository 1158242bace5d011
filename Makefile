PYTHON ?= python3
VENV ?= .venv
BIN := $(VENV)/bin
SEED ?= 1
# An empty environment has no search path, and make gives its commands none then.
ifeq ($(PATH),)
export PATH := /usr/local/sbin:/usr/local/bin:/usr/sbin:/usr/bin:/sbin:/bin
endif
export PYTHONPATH := src:platform:.
export PYTHONDONTWRITEBYTECODE := 1

.PHONY: setup test lint format demo bench torture

setup: $(VENV)/.installed

$(VENV)/.installed: requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --disable-pip-version-check -r requirements.lock
	$(BIN)/python -m pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation -e .
	touch $@

lint: setup
	$(BIN)/ruff format --check src platform specs bench tests
	$(BIN)/ruff check src platform specs bench tests
	$(BIN)/mypy
	$(BIN)/lint-imports

format: setup
	$(BIN)/ruff format src platform specs bench tests
	$(BIN)/ruff check --fix src platform specs bench tests

test: lint
	$(BIN)/python -m pytest

demo: setup
	$(BIN)/python -m mustardfront_standins.demo

bench: setup
	$(BIN)/python -m bench

torture: setup
	$(BIN)/python -m mustardfront_standins.torture --seed $(SEED)

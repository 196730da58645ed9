PYTHON ?= python3
BIN := .venv/bin
STAMP := .venv/.installed

.PHONY: help install test lint format models demo bench clean

help:  ## Show the targets
	@grep -E '^[a-z]+:.*##' $(MAKEFILE_LIST) | sed 's/:.*## /\t/'

$(STAMP): pyproject.toml
	$(PYTHON) -m venv .venv
	$(BIN)/pip install --quiet --editable '.[dev,bench]'
	touch $(STAMP)

install: $(STAMP)  ## Install into .venv

test: $(STAMP)  ## Run all tests
	$(BIN)/python -m unittest discover --start-directory tests --top-level-directory .

lint: $(STAMP)  ## Check formatting and style
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/flake8 mallowcrank tests scripts

format: $(STAMP)  ## Format the code
	$(BIN)/ruff check --fix .
	$(BIN)/ruff format .

models: $(STAMP)  ## Check the protocol specifications exhaustively
	$(BIN)/python -m mallowcrank.models

demo: $(STAMP)  ## Run the main job end to end on stand-ins
	$(BIN)/python -m scripts.demo
	$(BIN)/python -m scripts.platform_demo

SCENARIO ?= steady
SEED ?= 1
JSON ?= /tmp/mallowcrank-$(SCENARIO).json
bench: $(STAMP)  ## Run one scenario: SCENARIO=NAME SEED=N JSON=FILE
	$(BIN)/python -m scripts.bench $(SCENARIO) --seed $(SEED) --json $(JSON)

clean:  ## Remove what install made
	rm -rf .venv build *.egg-info

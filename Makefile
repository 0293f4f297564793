# Each target sets itself up: the stamp file stands for a complete venv.
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed
NAME ?=
SEEDS ?= 1-50
MINUTES ?= 0
ARGS ?= --variant all

.PHONY: run test format proofs bench soak lab capacity clean

$(STAMP): requirements.txt pyproject.toml
	python3 -m venv $(VENV)
	$(BIN)/pip install --quiet --requirement requirements.txt
	$(BIN)/pip install --quiet --no-deps --editable .
	touch $@

run: $(STAMP)
	$(BIN)/python -m bench.main_job

test: $(STAMP)
	$(BIN)/ruff format --check src tests proofs bench soak
	$(BIN)/flake8 src tests proofs bench soak
	$(BIN)/mypy
	$(BIN)/python -m pytest tests

format: $(STAMP)
	$(BIN)/ruff format src tests proofs bench soak

proofs: $(STAMP)
	$(BIN)/python -m pytest proofs

bench: $(STAMP)
	$(BIN)/python -m bench $(NAME)

# SEEDS=1-50, or MINUTES=5 of fresh seeds, or both left out.
soak: $(STAMP)
	$(BIN)/python -m soak --seeds "$(SEEDS)" --minutes $(MINUTES)

# Variants of the scheduler on days in virtual time; ARGS=--help tells what.
lab: $(STAMP)
	$(BIN)/python -m wigeonreach.lab $(ARGS)

clean:
	rm -rf $(VENV) run

# Tables of docs/CAPACITY.md from the figures in bench/data.
capacity: $(STAMP)
	$(BIN)/python -m bench.capacity_page

# Each target sets itself up: the stamp file stands for a complete venv.
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed
NAME ?=

.PHONY: run test format proofs bench capacity clean

$(STAMP): requirements.txt pyproject.toml
	python3 -m venv $(VENV)
	$(BIN)/pip install --quiet --requirement requirements.txt
	$(BIN)/pip install --quiet --no-deps --editable .
	touch $@

run: $(STAMP)
	$(BIN)/python -m bench.main_job

test: $(STAMP)
	$(BIN)/ruff format --check src tests proofs bench
	$(BIN)/flake8 src tests proofs bench
	$(BIN)/mypy
	$(BIN)/python -m pytest tests

format: $(STAMP)
	$(BIN)/ruff format src tests proofs bench

proofs: $(STAMP)
	$(BIN)/python -m pytest proofs

bench: $(STAMP)
	$(BIN)/python -m bench $(NAME)

clean:
	rm -rf $(VENV) run

# Tables of docs/CAPACITY.md from the figures in bench/data.
capacity: $(STAMP)
	$(BIN)/python -m bench.capacity_page

PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: demo test bench format clean

$(STAMP): pyproject.toml requirements.lock
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV) || python3 -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --disable-pip-version-check \
		-c requirements.lock -e '.[dev]'
	touch $(STAMP)

demo: $(STAMP)
	$(BIN)/shallotpoint demo

test: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy
	$(BIN)/python -m pytest

bench: $(STAMP)
	@$(BIN)/shallotpoint bench all

format: $(STAMP)
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

clean:
	rm -rf $(VENV) build *.egg-info

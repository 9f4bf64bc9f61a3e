PYTHON ?= python3.11
VENV ?= .venv
BIN := $(VENV)/bin
CODE := sapphireyard platform standins bench scripts tests

SEED ?= 1
SECONDS ?= 60

.PHONY: setup generate check test demo soak site-soak

setup: $(VENV)/.ready

$(VENV)/.ready: pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --editable '.[dev]'
	touch $@

generate: setup
	$(BIN)/python -m scripts.generate

check: setup
	$(BIN)/black --quiet --check $(CODE)
	$(BIN)/isort --quiet --check $(CODE)
	$(BIN)/flake8 $(CODE)
	$(BIN)/python -m scripts.generate --check

test: check
	PYTHONHASHSEED=0 $(BIN)/python -m scripts.run_tests

demo: setup
	$(BIN)/python -m scripts.demo

soak: setup
	$(BIN)/python -m scripts.soak --seed $(SEED) --seconds $(SECONDS)

site-soak: setup
	$(BIN)/python -m scripts.site_soak --seed $(SEED) --seconds $(SECONDS)

PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
SEED ?= 1
MINUTES ?= 5

.PHONY: demo test check format soak gateway-soak model-check bench

$(VENV)/.installed: requirements.lock pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet -r requirements.lock
	$(BIN)/python -m pip install --quiet --no-deps --no-build-isolation -e .
	touch $@

demo: $(VENV)/.installed
	$(BIN)/bronzebeam demo

test: $(VENV)/.installed
	$(BIN)/python -m nose2 --config unittest.cfg

check: $(VENV)/.installed
	$(BIN)/black --check --quiet src tests deploy
	$(BIN)/isort --check-only --quiet src tests deploy
	$(BIN)/flake8 src tests deploy
	$(BIN)/mypy

format: $(VENV)/.installed
	$(BIN)/isort --quiet src tests deploy
	$(BIN)/black --quiet src tests deploy

bench: $(VENV)/.installed
	$(BIN)/bronzebeam bench --quick

model-check: $(VENV)/.installed
	PYTHONPATH=src:. $(BIN)/python -m tests.test_model_fleet --minutes $(MINUTES)

gateway-soak: $(VENV)/.installed
	PYTHONPATH=src:. $(BIN)/python -m tests.soak_gateways --seed $(SEED) --minutes $(MINUTES)

soak: $(VENV)/.installed
	$(BIN)/bronzebeam soak --seed $(SEED) --minutes $(MINUTES)

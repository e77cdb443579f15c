VENV ?= .venv
PYTHON ?= $(VENV)/bin/python
SEED ?= 1
MINUTES ?= 5

SITE ?= canopy-gate
DAY ?= quiet-1
KIT ?= ../given/kit/more/system
KNOWN_RED := $(shell sed -n 's/^test: //p' KNOWN-RED.txt)

SEEDS ?= 50
SECONDS ?= 12

.PHONY: env test lint format demo bench soak soak-rules soak-routes experiment slopes binary docs platform-day

env: $(VENV)/.installed

$(VENV)/.installed: requirements.txt requirements-dev.txt
	test -x $(PYTHON) || python3 -m venv $(VENV)
	$(PYTHON) -m pip install -q -r requirements-dev.txt
	touch $@

format: env
	$(PYTHON) -m ruff format .
	$(PYTHON) -m ruff check --fix .

lint: env
	$(PYTHON) -m ruff format --check .
	$(PYTHON) -m ruff check .

test: env
ifneq ($(KNOWN_RED),)
	@echo "Known red tests, see KNOWN-RED.txt:"
	-$(PYTHON) -m pytest $(KNOWN_RED)
endif
	$(PYTHON) -m pytest $(KNOWN_RED:%=--deselect %)

demo: env
	$(PYTHON) -m cranberrylever dev

bench: env
	$(PYTHON) -m bench $(if $(ONLY),--only $(ONLY))

soak: env
	$(PYTHON) -m bench.soak --seed $(SEED) --minutes $(MINUTES)

NAME ?= shares

experiment: env
	$(PYTHON) -m bench.experiments $(NAME)

soak-routes: env
	$(PYTHON) -m bench.routes --seed $(SEED) --seeds $(SEEDS) --seconds $(SECONDS) $(OPTIONS)

soak-rules: env
	$(PYTHON) -m bench.rules_soak --seed $(SEED) --minutes $(MINUTES)

platform-day:
	@test -x $(KIT)/bin/fleetbench || { echo "the users' bench is missing: set KIT to the folder that holds bin/ and sites/"; exit 1; }
	$(KIT)/bin/fleetbench run $(KIT)/sites/$(SITE).toml $(DAY) --why "$(or $(WHY),a day by make platform-day)"

slopes: env
	$(PYTHON) -m bench.slopes

docs: env
	$(PYTHON) -m cranberrylever docs configuration > docs/configuration.md

binary: env
	mkdir -p dist
	$(PYTHON) -m shiv -q -o dist/cranberrylever -e cranberrylever.cli:main -p '/usr/bin/env python3' .

PYTHON ?= python3.11
VENV := .venv
RUN := $(VENV)/bin/python

.PHONY: test demo bench soak replay format lint generate

# The virtual environment is rebuilt when the lock file changes.
$(VENV)/.installed: requirements.lock
	$(PYTHON) -m venv $(VENV)
	$(RUN) -m pip install --quiet --require-hashes -r requirements.lock
	touch $@

test: $(VENV)/.installed
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .
	$(RUN) tools/generate.py --check
	$(VENV)/bin/mypy
	$(RUN) -m pytest -n 6

demo: $(VENV)/.installed
	@$(RUN) -m pomelolug.experiments.demo

format: $(VENV)/.installed
	$(VENV)/bin/ruff format .
	$(VENV)/bin/ruff check --fix .

generate: $(VENV)/.installed
	$(RUN) tools/generate.py
	$(VENV)/bin/ruff format --quiet pomelolug/messages pomelolug/settings

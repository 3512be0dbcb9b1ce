PYTHON ?= python3.11
VENV := .venv
RUN := $(VENV)/bin/python

.PHONY: test demo bench soak process-soak replay format lint generate install

# The virtual environment is rebuilt when the lock file changes.
$(VENV)/.installed: requirements.lock
	$(PYTHON) -m venv $(VENV)
	$(RUN) -m pip install --quiet --require-hashes -r requirements.lock
	touch $@

# Installs the commands of pyproject.toml so that they run from this checkout.
install: $(VENV)/.installed
	$(RUN) -m pip install --quiet --no-deps --editable .

test: $(VENV)/.installed
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .
	$(RUN) tools/generate.py --check
	$(VENV)/bin/mypy
	$(RUN) -m pytest -n 6

demo: $(VENV)/.installed
	@$(RUN) -m pomelolug.experiments.demo

bench: $(VENV)/.installed
	$(RUN) -m pomelolug.experiments.bench --only "$(ONLY)"

soak: $(VENV)/.installed
	@$(RUN) -m pomelolug.experiments.soak --seed $(or $(SEED),1) --virtual_s $(or $(VIRTUAL_S),600)

# Runs real processes on loopback; logs of runs that break a guarantee go to target/soak.
process-soak: $(VENV)/.installed
	@$(RUN) -m pomelolug.experiments.process_soak --seed $(or $(SEED),1) --seeds $(or $(SEEDS),1) --length_s $(or $(LENGTH_S),15)

replay: $(VENV)/.installed
	@$(RUN) -m pomelolug.experiments.replay $(TRACE)

format: $(VENV)/.installed
	$(VENV)/bin/ruff format .
	$(VENV)/bin/ruff check --fix .

generate: $(VENV)/.installed
	$(RUN) tools/generate.py
	$(VENV)/bin/ruff format --quiet pomelolug/messages pomelolug/settings

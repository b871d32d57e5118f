VENV ?= .venv
PY := $(VENV)/bin/python
STAMP := $(VENV)/.installed

.PHONY: run test check format bench binary setup clean

setup: $(STAMP)

$(STAMP): requirements.txt requirements-dev.txt
	python3 -m venv $(VENV)
	$(PY) -m pip install --quiet --disable-pip-version-check -r requirements.txt -r requirements-dev.txt
	touch $(STAMP)

run: $(STAMP)
	$(PY) -m lacewinghub demo

test: $(STAMP)
	$(PY) -m tests

check: $(STAMP)
	$(PY) -m black --check --quiet lacewinghub tests tools
	$(PY) -m ruff check --quiet lacewinghub tests tools
	$(PY) -m mypy

format: $(STAMP)
	$(PY) -m black --quiet lacewinghub tests tools
	$(PY) -m ruff check --quiet --fix lacewinghub tests tools

bench: $(STAMP)
	$(PY) -m lacewinghub bench

binary: $(STAMP)
	$(PY) tools/build_binary.py

clean:
	rm -rf build dist *.egg-info

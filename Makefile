# VENV names the environment; an existing one may be given: make test VENV=PATH
VENV ?= .venv
PYTHON = $(VENV)/bin/python
READY = $(VENV)/.flamingohead-ready
SOURCES = flamingohead properties benchmarks soak conftest.py

export PYTHONPATH := $(CURDIR)
export PYTHONHASHSEED := 0

.PHONY: environment demo test lint format bench protocol

environment: $(READY)

$(READY): requirements.lock
	test -x $(PYTHON) || python3 -m venv $(VENV)
	$(PYTHON) -m pip install --quiet --requirement requirements.lock
	touch $(READY)

demo: $(READY)
	$(PYTHON) -m benchmarks.demo

test: $(READY) lint
	$(PYTHON) -m pytest --collect-only -qq > /dev/null
	$(PYTHON) -m pytest -n 4 --dist loadfile -rxX

lint: $(READY)
	$(PYTHON) -m black --check --quiet $(SOURCES)
	$(PYTHON) -m isort --check-only --quiet $(SOURCES)
	$(PYTHON) -m flake8 $(SOURCES)

format: $(READY)
	$(PYTHON) -m black --quiet $(SOURCES)
	$(PYTHON) -m isort --quiet $(SOURCES)

bench: $(READY)
	$(PYTHON) -m benchmarks

# Needs grpcio-tools, which the build itself does not: the output is committed.
protocol:
	$(PYTHON) -m grpc_tools.protoc -I. --python_out=. --grpclib_python_out=. \
		flamingohead/protocol/peers.proto

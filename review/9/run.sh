#!/bin/sh
exec "$(dirname "$0")/../run-scenario.sh" TornStream review/9

#!/bin/sh
exec "$(dirname "$0")/../run-scenario.sh" TornAnswer review/6

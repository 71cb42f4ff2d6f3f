#!/bin/sh
exec "$(dirname "$0")/../run-scenario.sh" TenantNames review/8

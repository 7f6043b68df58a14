#!/bin/sh
exec "$(dirname "$0")/../play.sh" stale-line "$(dirname "$0")"

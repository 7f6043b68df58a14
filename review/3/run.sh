#!/bin/sh
exec "$(dirname "$0")/../play.sh" spent-messages "$(dirname "$0")"

#!/bin/sh
exec "$(dirname "$0")/../play.sh" grant-returns "$(dirname "$0")"

#!/bin/sh
cd "$(dirname "$0")" && exec ../play-2.sh . restart-in-handover

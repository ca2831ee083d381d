#!/bin/sh
# Random schedules of an engine that takes weights and of its stagers: unit tests, with the
# programs in the folder $1, that run by themselves as they take long.
"$1/unit" loads

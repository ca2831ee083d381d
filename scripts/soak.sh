#!/bin/sh
# Runs the unit tests with seeded schedules and the soak of direct operation with more seeds than
# CI does.  Environment: ROUNDS (default 20); FIRST, the first seed (100000); SECONDS_EACH, the
# seconds of one soak (15); UNITS=no leaves out the unit tests; SCENARIOS=yes adds the scenarios.
# A failure prints its seed.
set -u
bin=$1
rounds=${ROUNDS:-20}
seed=${FIRST:-100000}
while [ "$rounds" -gt 0 ]; do
	echo "soak: UNIT_SEED=$seed"
	[ "${UNITS:-yes}" = no ] || UNIT_SEED=$seed "$bin/unit" >/dev/null ||
		{ echo "FAILED: UNIT_SEED=$seed $bin/unit"; exit 1; }
	"$bin/direct" "$bin" "$seed" "${SECONDS_EACH:-15}" ||
		{ echo "FAILED: $bin/direct $bin $seed ${SECONDS_EACH:-15}"; exit 1; }
	for f in regress/scenarios/*.scn; do
		[ "${SCENARIOS:-no}" = yes ] || break
		"$bin/scenario" --quiet --bin "$bin" --seed "$seed" "$f" ||
			{ echo "FAILED: seed $seed $f"; exit 1; }
	done
	seed=$((seed + 10000))
	rounds=$((rounds - 1))
done
echo "soak: ok"

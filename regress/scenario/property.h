/* Properties that must hold in every scenario. */
#ifndef SCENARIO_PROPERTY_H
#define SCENARIO_PROPERTY_H

#include "scenario.h"

/* Checks a property; fails the scenario and returns false when it does not hold. */
typedef bool (*PropertyFunc) (Scenario *s);
/* The check of the property NAME, NULL when there is none. */
PropertyFunc property_find (const char *name);

#endif

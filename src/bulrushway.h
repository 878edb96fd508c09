#ifndef BULRUSHWAY_BULRUSHWAY_H
#define BULRUSHWAY_BULRUSHWAY_H

// The public header of the library: running a process beside a target, reading and checking
// settings and configurations, and the types of errors, refusals and events. All other headers are
// internal.

#include "configuration_parser.h"
#include "daemon.h"
#include "daemon_settings.h"
#include "error.h"
#include "event_catalogue.h"
#include "refusal.h"

#endif  // BULRUSHWAY_BULRUSHWAY_H

#ifndef BULRUSHWAY_BULRUSHWAY_H
#define BULRUSHWAY_BULRUSHWAY_H

// The public header of the library: what a program needs to run a process beside a target, to read
// and check settings and configurations, and to speak of requests and errors. Everything else is
// internal.

#include "configuration_parser.h"
#include "daemon.h"
#include "daemon_settings.h"
#include "error.h"
#include "event_catalogue.h"
#include "refusal.h"

#endif  // BULRUSHWAY_BULRUSHWAY_H

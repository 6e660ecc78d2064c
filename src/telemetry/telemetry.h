#pragma once

/// Logs, metrics and spans.

#include "core/core.h"
#include "telemetry/event_log.h"
#include "telemetry/log.h"
#include "telemetry/metrics.h"
#include "telemetry/span.h"

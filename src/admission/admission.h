#pragma once

/// Admission of requests to an upstream: the concurrency limit, the order of the queue and the
/// estimates of what operations cost.

#include "admission/cost_estimator.h"
#include "admission/limiter.h"
#include "admission/queue.h"

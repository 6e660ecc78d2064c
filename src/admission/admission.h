#pragma once

/// Who gets a slot of an upstream: the limit on work in progress, and the order of the queue.

#include "admission/cost_estimator.h"
#include "admission/limiter.h"
#include "admission/queue.h"

#pragma once

/// Ids, units, errors and outcomes that every slice shares. No socket, no thread, no codec.

#include "core/error.h"
#include "core/hash.h"
#include "core/headers.h"
#include "core/ids.h"
#include "core/outcome.h"
#include "core/units.h"

#pragma once

/// Ids, units, errors, outcomes, headers and hashes that all parts of the program share. Nothing
/// here opens a socket, starts a thread or encodes messages.

#include "core/error.h"
#include "core/hash.h"
#include "core/headers.h"
#include "core/ids.h"
#include "core/memory_budget.h"
#include "core/message_fault.h"
#include "core/outcome.h"
#include "core/shared_bytes.h"
#include "core/units.h"

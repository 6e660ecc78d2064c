#pragma once

/// What a task tells the others when it has found that a connection went silent while new ones
/// work.

#include "core/core.h"

namespace buckthornford {

/// A connection of this process has gone silent without being closed, and a new one to the same
/// peer works. So the network may have forgotten other connections too: those opened before
/// \a silentSince are to be checked or replaced.
struct ConnectionsSuspected
{
    TimePoint silentSince;
};

} // namespace buckthornford

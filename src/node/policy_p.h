#pragma once

#include "entry/entry.h"
#include "gate/gate.h"

#include <string_view>

namespace buckthornford {

/// One way to run the whole system; experiments compare them.
struct Policy
{
    std::string_view name;
    EntryPolicy entry;
    GatePolicy gate;
};

/// Returns the policy called \a name or nullptr.
const Policy *findPolicy(std::string_view name);

} // namespace buckthornford

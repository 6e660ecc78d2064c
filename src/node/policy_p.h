#pragma once

#include "admission_controller/admission_controller.h"
#include "dispatch/dispatch.h"

#include <string_view>

namespace buckthornford {

/// A named way to dispatch and to admit requests, the same at all nodes. Experiments compare
/// policies.
struct Policy
{
    std::string_view name;
    DispatchPolicy dispatch;
    AdmissionPolicy admission;
};

/// Returns the policy called \a name or nullptr.
const Policy *findPolicy(std::string_view name);

} // namespace buckthornford

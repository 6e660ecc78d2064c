#pragma once

#include "admission_controller/admission_controller.h"
#include "dispatch/dispatch.h"

#include <string_view>

namespace buckthornford {

/// One way to run the whole system; experiments compare them.
struct Policy
{
    std::string_view name;
    DispatchPolicy dispatch;
    AdmissionPolicy admission;
};

/// Returns the policy called \a name or nullptr.
const Policy *findPolicy(std::string_view name);

} // namespace buckthornford

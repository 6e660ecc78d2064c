#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace buckthornford {

/// A value of type T that converts implicitly to no other type. Types with different \a Tag are
/// different types.
template <class T, class Tag>
class Strong
{
public:
    using Value = T;

    constexpr Strong() = default;
    constexpr explicit Strong(T value)
        : m_value(std::move(value))
    {}

    constexpr const T &value() const { return m_value; }

    friend constexpr auto operator<=>(const Strong &, const Strong &) = default;
    friend constexpr bool operator==(const Strong &, const Strong &) = default;
    friend std::ostream &operator<<(std::ostream &out, const Strong &strong)
    {
        return out << strong.m_value;
    }

private:
    T m_value{};
};

using InstanceId = Strong<std::string, struct InstanceTag>; ///< instance: a machine and its slot
using ServiceName = Strong<std::string, struct ServiceTag>;
using ZoneName = Strong<std::string, struct ZoneTag>; ///< availability zone
using RegionName = Strong<std::string, struct RegionTag>;
using CallerName = Strong<std::string, struct CallerTag>;
using ClassName = Strong<std::string, struct ClassTag>; ///< class of requests, ranked by presets
using OperationName = Strong<std::string, struct OperationTag>; ///< kind of request in a service
using PresetName = Strong<std::string, struct PresetTag>;
using ChangeId = Strong<std::string, struct ChangeTag>; ///< chosen by an operator for one change

/// Id of a call, unique at its entry node (the node at which the caller's request arrived).
using RequestId = Strong<std::uint64_t, struct RequestTag>;
/// Id of one run of a request at an upstream, unique within the node beside that upstream.
using ExecutionId = Strong<std::uint64_t, struct ExecutionTag>;
using AttemptNumber = Strong<std::uint32_t, struct AttemptTag>;
using Revision = Strong<std::uint64_t, struct RevisionTag>; ///< of the configuration
/// Counts how often the platform's store has come back from a copy, and so lost what it had
/// acknowledged.
using StoreEra = Strong<std::uint64_t, struct StoreEraTag>;
using Incarnation = Strong<std::uint64_t, struct IncarnationTag>; ///< one start of a node process

} // namespace buckthornford

template <class T, class Tag>
struct std::hash<buckthornford::Strong<T, Tag>>
{
    std::size_t operator()(const buckthornford::Strong<T, Tag> &strong) const noexcept
    {
        return std::hash<T>{}(strong.value());
    }
};

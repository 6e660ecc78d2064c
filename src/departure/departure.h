#pragma once

/// The departure of an upstream instance: what a node has to remember of an upstream that has said
/// that it leaves. An announcement that arrives late must not bring the upstream back, not even
/// after a restart of the node; so departures are kept in the store and passed on by gossip.

#include "core/core.h"

#include <optional>
#include <string>
#include <string_view>

namespace buckthornford {

/// One start of an upstream; a later start has a greater value. Zero if not known.
using UpstreamStart = Strong<std::uint64_t, struct UpstreamStartTag>;

/// An upstream has told the node beside it that it leaves.
struct UpstreamDeparture
{
    std::string upstream; ///< id of the instance
    UpstreamStart start;  ///< the start that has ended, and with it all earlier ones

    /// Returns whether the upstream \a id has left if it was started by \a otherStart.
    bool covers(std::string_view id, UpstreamStart otherStart) const;

    friend bool operator==(const UpstreamDeparture &, const UpstreamDeparture &) = default;
};

/// Returns whether \a departure says more than \a known, which may be nothing.
bool isNews(const UpstreamDeparture &departure, const std::optional<UpstreamDeparture> &known);

/// Returns the text under which a departure is stored.
std::string toJsonText(const UpstreamDeparture &departure);

/// Reads the text of a stored departure; nothing if \a text is malformed.
std::optional<UpstreamDeparture> parseDeparture(std::string_view text);

} // namespace buckthornford

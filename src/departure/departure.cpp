#include "departure/departure.h"

#include <nlohmann/json.hpp>

namespace buckthornford {

namespace {

constexpr const char *upstreamKey = "upstream";
constexpr const char *startKey = "start";

} // namespace

bool UpstreamDeparture::covers(std::string_view id, UpstreamStart otherStart) const
{
    return otherStart <= start && (start != UpstreamStart{} || upstream == id);
}

bool isNews(const UpstreamDeparture &departure, const std::optional<UpstreamDeparture> &known)
{
    return !known || departure.start > known->start;
}

std::string toJsonText(const UpstreamDeparture &departure)
{
    return nlohmann::json{{upstreamKey, departure.upstream}, {startKey, departure.start.value()}}
            .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::optional<UpstreamDeparture> parseDeparture(std::string_view text)
{
    const nlohmann::json document = nlohmann::json::parse(text, nullptr, false);
    if (!document.is_object() || !document.contains(upstreamKey) || !document.contains(startKey))
        return std::nullopt;
    const nlohmann::json &upstream = document[upstreamKey];
    const nlohmann::json &start = document[startKey];
    if (!upstream.is_string() || upstream.get_ref<const std::string &>().empty()
        || !start.is_number_unsigned())
        return std::nullopt;
    return UpstreamDeparture{upstream.get<std::string>(),
                             UpstreamStart{start.get<std::uint64_t>()}};
}

} // namespace buckthornford

#include "preset/preset.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <set>

namespace buckthornford {

namespace {

using nlohmann::json;

constexpr std::array<std::string_view, 5> rulingNames{"earliest-deadline", "oldest-first",
                                                      "newest-first", "callers", "operations"};
constexpr std::int64_t maxRank = 1000;
constexpr std::int64_t maxRetries = 64;
constexpr std::int64_t maxTimeoutMilliseconds = 3'600'000;
constexpr std::size_t maxNameLength = 64;

/// Reads members of one JSON object and keeps the first fault.
class Reader
{
public:
    Reader(const json &object, std::string path, std::optional<DocumentError> *fault)
        : m_object(object)
        , m_path(std::move(path))
        , m_fault(fault)
    {
        if (!object.is_object())
            refuse("", "is not an object");
    }

    std::int64_t wholeNumber(const char *key, std::int64_t low, std::int64_t high)
    {
        const json *value = find(key);
        if (value == nullptr)
            return low;
        if (!value->is_number_integer() || value->get<std::int64_t>() < low
            || value->get<std::int64_t>() > high) {
            refuse(key, "is not a whole number from " + std::to_string(low) + " to "
                                + std::to_string(high));
            return low;
        }
        return value->get<std::int64_t>();
    }

    double share(const char *key, double otherwise)
    {
        if (!m_object.is_object() || !m_object.contains(key))
            return otherwise;
        const json &value = m_object[key];
        if (!value.is_number() || value.get<double>() < 0.0 || value.get<double>() > 1.0) {
            refuse(key, "is not a number from 0 to 1");
            return otherwise;
        }
        return value.get<double>();
    }

    std::string text(const char *key)
    {
        const json *value = find(key);
        if (value == nullptr)
            return {};
        if (!value->is_string() || value->get_ref<const std::string &>().empty()
            || value->get_ref<const std::string &>().size() > maxNameLength) {
            refuse(key, "is not a text of 1 to 64 characters");
            return {};
        }
        return value->get<std::string>();
    }

    const json *find(const char *key)
    {
        if (!m_object.is_object())
            return nullptr;
        const auto found = m_object.find(key);
        if (found != m_object.end())
            return &*found;
        refuse(key, "is missing");
        return nullptr;
    }

    /// Refuses members that no reader asks for, such as a misspelt one.
    void allowOnly(std::initializer_list<std::string_view> keys)
    {
        if (!m_object.is_object())
            return;
        for (const auto &[key, value] : m_object.items()) {
            if (std::find(keys.begin(), keys.end(), key) == keys.end())
                refuse(key, "is not a known member");
        }
    }

    void refuse(std::string_view key, std::string detail)
    {
        if (*m_fault)
            return;
        std::string field = m_path;
        if (!key.empty())
            field += (field.empty() ? "" : ".") + std::string(key);
        *m_fault = DocumentError{Error::BadDocument, field, std::move(detail)};
    }

    std::string pathOf(std::string_view key) const
    {
        return m_path.empty() ? std::string(key) : m_path + "." + std::string(key);
    }

private:
    const json &m_object;
    std::string m_path;
    std::optional<DocumentError> *m_fault;
};

ClassRule readClass(const json &object, const std::string &path,
                    std::optional<DocumentError> *fault)
{
    Reader reader(object, path, fault);
    reader.allowOnly({"name", "rank", "retries", "timeoutMs"});
    ClassRule rule;
    rule.name = ClassName{reader.text("name")};
    rule.rank = Rank{static_cast<std::uint32_t>(reader.wholeNumber("rank", 0, maxRank))};
    rule.retries = Tokens{static_cast<std::uint32_t>(reader.wholeNumber("retries", 0, maxRetries))};
    rule.timeout
            = std::chrono::milliseconds(reader.wholeNumber("timeoutMs", 1, maxTimeoutMilliseconds));
    return rule;
}

TieBreaker readRuling(const json &object, const std::string &path,
                      std::optional<DocumentError> *fault)
{
    Reader reader(object, path, fault);
    reader.allowOnly({"order", "names"});
    TieBreaker ruling;
    const std::string order = reader.text("order");
    const auto found = std::find(rulingNames.begin(), rulingNames.end(), order);
    if (found == rulingNames.end()) {
        reader.refuse("order", "is none of earliest-deadline, oldest-first, newest-first, callers, "
                               "operations");
        return ruling;
    }
    ruling.order = static_cast<TieBreakOrder>(found - rulingNames.begin());
    if (ruling.order != TieBreakOrder::ByCaller && ruling.order != TieBreakOrder::ByOperation)
        return ruling;
    const json *names = reader.find("names");
    if (names == nullptr)
        return ruling;
    const bool isList = names->is_array() && !names->empty()
                        && std::all_of(names->begin(), names->end(),
                                       [](const json &name) { return name.is_string(); });
    if (isList)
        ruling.names = names->get<std::vector<std::string>>();
    else
        reader.refuse("names", "is not a list of names");
    return ruling;
}

void readClasses(Preset *preset, const json &list, const std::string &path,
                 std::optional<DocumentError> *fault)
{
    if (!list.is_array() || list.empty()) {
        if (!*fault)
            *fault = DocumentError{Error::BadDocument, path, "is not a list of classes"};
        return;
    }
    std::set<ClassName> seen;
    for (std::size_t i = 0; i < list.size(); ++i) {
        const std::string classPath = path + "[" + std::to_string(i) + "]";
        preset->classes.push_back(readClass(list[i], classPath, fault));
        if (!seen.insert(preset->classes.back().name).second && !*fault)
            *fault = DocumentError{Error::BadDocument, classPath + ".name", "stands twice"};
    }
}

Preset readPreset(const std::string &name, const json &object, std::optional<DocumentError> *fault)
{
    Preset preset;
    preset.name = PresetName{name};
    Reader reader(object, "presets." + name, fault);
    reader.allowOnly({"classes", "ruling", "shortShare", "spillShare", "hedgeShare"});
    if (const json *classes = reader.find("classes"))
        readClasses(&preset, *classes, reader.pathOf("classes"), fault);
    if (const json *ruling = reader.find("ruling"))
        preset.tieBreaker = readRuling(*ruling, reader.pathOf("ruling"), fault);
    preset.shortShare = reader.share("shortShare", preset.shortShare);
    preset.spillShare = reader.share("spillShare", preset.spillShare);
    preset.hedgeShare = reader.share("hedgeShare", preset.hedgeShare);
    return preset;
}

DocumentResult readDocument(const json &root)
{
    std::optional<DocumentError> fault;
    Reader reader(root, "", &fault);
    reader.allowOnly({"presets", "inForce"});
    Document document;
    document.activePresetName = PresetName{reader.text("inForce")};
    const json *presets = reader.find("presets");
    if (presets != nullptr && (!presets->is_object() || presets->empty()))
        reader.refuse("presets", "is not an object with at least one preset");
    if (fault)
        return *fault;
    for (const auto &[name, object] : presets->items())
        document.presets.emplace(PresetName{name}, readPreset(name, object, &fault));
    if (!document.presets.contains(document.activePresetName))
        reader.refuse("inForce", "names no preset of this document");
    if (fault)
        return *fault;
    return document;
}

json toJson(const Preset &preset)
{
    json classes = json::array();
    for (const ClassRule &rule : preset.classes) {
        classes.push_back({{"name", rule.name.value()},
                           {"rank", rule.rank.value()},
                           {"retries", rule.retries.value()},
                           {"timeoutMs", rule.timeout / std::chrono::milliseconds(1)}});
    }
    json ruling{{"order", rulingNames[static_cast<std::size_t>(preset.tieBreaker.order)]}};
    if (!preset.tieBreaker.names.empty())
        ruling["names"] = preset.tieBreaker.names;
    return {{"classes", classes},
            {"ruling", ruling},
            {"shortShare", preset.shortShare},
            {"spillShare", preset.spillShare},
            {"hedgeShare", preset.hedgeShare}};
}

json toJson(const Document &document)
{
    json presets = json::object();
    for (const auto &[name, preset] : document.presets)
        presets[name.value()] = toJson(preset);
    return {{"inForce", document.activePresetName.value()}, {"presets", presets}};
}

} // namespace

DocumentResult parseDocument(std::string_view text)
{
    const json root = json::parse(text, nullptr, false);
    if (root.is_discarded())
        return DocumentError{Error::MalformedJson, "", "the text is not well-formed JSON"};
    return readDocument(root);
}

std::string toJsonText(const Document &document)
{
    return toJson(document).dump(2);
}

Result<Configuration> parseConfiguration(std::string_view text)
{
    const json root = json::parse(text, nullptr, false);
    if (!root.is_object() || !root.contains("document") || !root.contains("revision")
        || !root["revision"].is_number_unsigned() || !root.contains("effectiveAt")
        || !root["effectiveAt"].is_number_integer() || !root.contains("change")
        || !root["change"].is_string())
        return Error::BadDocument;
    DocumentResult document = readDocument(root["document"]);
    if (!document)
        return document.error().error;
    return Configuration{Revision{root["revision"].get<std::uint64_t>()},
                         ChangeId{root["change"].get<std::string>()},
                         WallTime{root["effectiveAt"].get<std::int64_t>()},
                         std::move(document.value())};
}

std::string toJsonText(const Configuration &configuration)
{
    return json{{"revision", configuration.revision.value()},
                {"change", configuration.change.value()},
                {"effectiveAt", configuration.effectiveAt.value()},
                {"document", toJson(configuration.document)}}
            .dump();
}

} // namespace buckthornford

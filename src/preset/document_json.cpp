#include "preset/preset.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <set>

namespace buckthornford {

namespace {

using nlohmann::json;

/// In the order of TieBreakOrder.
constexpr std::array<std::string_view, 5> orderNames{"earliest-deadline", "oldest-first",
                                                     "newest-first", "callers", "operations"};
constexpr std::int64_t maxRank = 1000;
constexpr std::int64_t maxRetries = 64;
constexpr std::int64_t maxTimeoutMilliseconds = 3'600'000;
constexpr std::size_t maxNameLength = 64; ///< bytes

/// Reads the members of one JSON object and keeps the first error.
class ObjectReader
{
public:
    ObjectReader(const json &object, std::string path, std::optional<DocumentError> *error)
        : m_object(object)
        , m_path(std::move(path))
        , m_error(error)
    {
        if (!object.is_object())
            fail("", "is not an object");
    }

    /// Returns a number from \a low to \a high. Fails and returns \a low if it is missing or
    /// invalid.
    std::int64_t readInteger(const char *key, std::int64_t low, std::int64_t high)
    {
        const json *value = find(key);
        if (value == nullptr)
            return low;
        if (!value->is_number_integer() || value->get<std::int64_t>() < low
            || value->get<std::int64_t>() > high) {
            fail(key, "is not a whole number from " + std::to_string(low) + " to "
                              + std::to_string(high));
            return low;
        }
        return value->get<std::int64_t>();
    }

    /// Returns a number from 0 to 1, or \a defaultValue if it is missing. Fails if it is invalid.
    double readShare(const char *key, double defaultValue)
    {
        if (!m_object.is_object() || !m_object.contains(key))
            return defaultValue;
        const json &value = m_object[key];
        if (!value.is_number() || value.get<double>() < 0.0 || value.get<double>() > 1.0) {
            fail(key, "is not a number from 0 to 1");
            return defaultValue;
        }
        return value.get<double>();
    }

    /// Returns a string. Fails and returns an empty one if it is missing, empty or too long.
    std::string readString(const char *key)
    {
        const json *value = find(key);
        if (value == nullptr)
            return {};
        if (!value->is_string() || value->get_ref<const std::string &>().empty()
            || value->get_ref<const std::string &>().size() > maxNameLength) {
            fail(key, "is not a string of 1 to 64 bytes");
            return {};
        }
        return value->get<std::string>();
    }

    /// Returns the member. Fails and returns nullptr if it is missing.
    const json *find(const char *key)
    {
        if (!m_object.is_object())
            return nullptr;
        const auto found = m_object.find(key);
        if (found != m_object.end())
            return &*found;
        fail(key, "is missing");
        return nullptr;
    }

    /// Fails if there are other members, such as a misspelt one.
    void allowOnly(std::initializer_list<std::string_view> keys)
    {
        if (!m_object.is_object())
            return;
        for (const auto &[key, value] : m_object.items()) {
            if (std::find(keys.begin(), keys.end(), key) == keys.end())
                fail(key, "is not a known member");
        }
    }

    /// Records an error of the member \a key, or of the object itself if \a key is empty. Only the
    /// first error is kept.
    void fail(std::string_view key, std::string detail)
    {
        if (*m_error)
            return;
        std::string field = m_path;
        if (!key.empty())
            field += (field.empty() ? "" : ".") + std::string(key);
        *m_error = DocumentError{Error::BadDocument, field, std::move(detail)};
    }

    std::string memberPath(std::string_view key) const
    {
        return m_path.empty() ? std::string(key) : m_path + "." + std::string(key);
    }

private:
    const json &m_object;
    std::string m_path;
    std::optional<DocumentError> *m_error;
};

ClassRule readClass(const json &object, const std::string &path,
                    std::optional<DocumentError> *error)
{
    ObjectReader reader(object, path, error);
    reader.allowOnly({"name", "rank", "retries", "timeoutMs"});
    ClassRule rule;
    rule.name = ClassName{reader.readString("name")};
    rule.rank = Rank{static_cast<std::uint32_t>(reader.readInteger("rank", 0, maxRank))};
    rule.retries = Tokens{static_cast<std::uint32_t>(reader.readInteger("retries", 0, maxRetries))};
    rule.timeout
            = std::chrono::milliseconds(reader.readInteger("timeoutMs", 1, maxTimeoutMilliseconds));
    return rule;
}

TieBreaker readTieBreaker(const json &object, const std::string &path,
                          std::optional<DocumentError> *error)
{
    ObjectReader reader(object, path, error);
    reader.allowOnly({"order", "names"});
    TieBreaker tieBreaker;
    const std::string order = reader.readString("order");
    const auto found = std::find(orderNames.begin(), orderNames.end(), order);
    if (found == orderNames.end()) {
        reader.fail("order", "is none of earliest-deadline, oldest-first, newest-first, callers, "
                             "operations");
        return tieBreaker;
    }
    tieBreaker.order = static_cast<TieBreakOrder>(found - orderNames.begin());
    if (tieBreaker.order != TieBreakOrder::ByCaller
        && tieBreaker.order != TieBreakOrder::ByOperation)
        return tieBreaker;
    const json *names = reader.find("names");
    if (names == nullptr)
        return tieBreaker;
    const bool isList = names->is_array() && !names->empty()
                        && std::all_of(names->begin(), names->end(),
                                       [](const json &name) { return name.is_string(); });
    if (isList)
        tieBreaker.names = names->get<std::vector<std::string>>();
    else
        reader.fail("names", "is not a list of names");
    return tieBreaker;
}

void readClasses(Preset *preset, const json &list, const std::string &path,
                 std::optional<DocumentError> *error)
{
    if (!list.is_array() || list.empty()) {
        if (!*error)
            *error = DocumentError{Error::BadDocument, path, "is not a list of classes"};
        return;
    }
    std::set<ClassName> seen;
    for (std::size_t i = 0; i < list.size(); ++i) {
        const std::string classPath = path + "[" + std::to_string(i) + "]";
        preset->classes.push_back(readClass(list[i], classPath, error));
        if (!seen.insert(preset->classes.back().name).second && !*error)
            *error = DocumentError{Error::BadDocument, classPath + ".name",
                                   "is already the name of an earlier class"};
    }
}

Preset readPreset(const std::string &name, const json &object, std::optional<DocumentError> *error)
{
    Preset preset;
    preset.name = PresetName{name};
    ObjectReader reader(object, "presets." + name, error);
    reader.allowOnly({"classes", "ruling", "shortShare", "spillShare", "hedgeShare"});
    if (const json *classes = reader.find("classes"))
        readClasses(&preset, *classes, reader.memberPath("classes"), error);
    if (const json *tieBreaker = reader.find("ruling"))
        preset.tieBreaker = readTieBreaker(*tieBreaker, reader.memberPath("ruling"), error);
    preset.shortShare = reader.readShare("shortShare", preset.shortShare);
    preset.spillShare = reader.readShare("spillShare", preset.spillShare);
    preset.hedgeShare = reader.readShare("hedgeShare", preset.hedgeShare);
    return preset;
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
    json tieBreaker{{"order", orderNames[static_cast<std::size_t>(preset.tieBreaker.order)]}};
    if (!preset.tieBreaker.names.empty())
        tieBreaker["names"] = preset.tieBreaker.names;
    return {{"classes", classes},
            {"ruling", tieBreaker},
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

DocumentResult readDocument(const json &root)
{
    std::optional<DocumentError> error;
    ObjectReader reader(root, "", &error);
    reader.allowOnly({"presets", "inForce"});
    Document document;
    document.activePresetName = PresetName{reader.readString("inForce")};
    const json *presets = reader.find("presets");
    if (presets != nullptr && (!presets->is_object() || presets->empty()))
        reader.fail("presets", "is not an object with at least one preset");
    if (error)
        return *error;
    for (const auto &[name, object] : presets->items())
        document.presets.emplace(PresetName{name}, readPreset(name, object, &error));
    if (!document.presets.contains(document.activePresetName))
        reader.fail("inForce", "names no preset of this document");
    if (error)
        return *error;
    return document;
}

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

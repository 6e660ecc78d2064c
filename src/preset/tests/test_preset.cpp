#define BOOST_TEST_MODULE preset
#include "preset/preset.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <fstream>
#include <sstream>

using namespace buckthornford;
namespace data = boost::unit_test::data;

namespace {

constexpr char smallDocument[] = R"({"inForce": "a", "presets": {
    "a": {"classes": [{"name": "x", "rank": 0, "retries": 2, "timeoutMs": 100}],
          "ruling": {"order": "oldest-first"}},
    "b": {"classes": [{"name": "x", "rank": 0, "retries": 2, "timeoutMs": 100}],
          "ruling": {"order": "callers", "names": ["p", "q"]}}}})";

std::string readFile(const std::string &name)
{
    std::ifstream file(std::string(SOURCE_DIR) + "/" + name);
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

struct BadDocument
{
    const char *text;
    const char *field;
};

std::ostream &operator<<(std::ostream &out, const BadDocument &document)
{
    return out << document.field;
}

const BadDocument badDocuments[] = {
        {"{", ""},
        {"[]", ""},
        {R"({"inForce": "a"})", "presets"},
        {R"({"inForce": "z", "presets": {"a": {}}})", "presets.a.classes"},
        {R"({"inForce": "a", "presets": {"a": {"classes": [], "ruling": {"order": "oldest-first"}}}})",
         "presets.a.classes"},
        {R"({"inForce": "a", "presets": {"a": {"classes": [{"name": "x", "rank": -1, "retries": 0,
             "timeoutMs": 1}], "ruling": {"order": "oldest-first"}}}})",
         "presets.a.classes[0].rank"},
        {R"({"inForce": "a", "presets": {"a": {"classes": [{"name": "x", "rank": 1, "retries": 0,
             "timeoutMs": 1}], "ruling": {"order": "loudest"}}}})",
         "presets.a.ruling.order"},
        {R"({"inForce": "a", "presets": {"a": {"classes": [{"name": "x", "rank": 1, "retries": 0,
             "timeoutMs": 1}], "ruling": {"order": "oldest-first"}, "shortshare": 1}}})",
         "presets.a.shortshare"},
        {R"({"inForce": "b", "presets": {"a": {"classes": [{"name": "x", "rank": 1, "retries": 0,
             "timeoutMs": 1}], "ruling": {"order": "oldest-first"}}}})",
         "inForce"},
};

Change switchTo(const char *preset, const char *id)
{
    Change change;
    change.kind = Change::Kind::SwitchPreset;
    change.id = ChangeId{id};
    change.preset = PresetName{preset};
    return change;
}

Configuration firstConfiguration()
{
    return {Revision{1}, ChangeId{"first"}, WallTime{0}, parseDocument(smallDocument).value()};
}

} // namespace

BOOST_DATA_TEST_CASE(invalidDocumentIsRefusedWithItsField, data::make(badDocuments), document)
{
    const DocumentResult result = parseDocument(document.text);
    BOOST_REQUIRE(!result.has_value());
    BOOST_TEST(result.error().field == document.field);
    BOOST_TEST(!result.error().detail.empty());
}

BOOST_AUTO_TEST_CASE(examplesAreValidAndSurviveRoundTrip)
{
    for (const char *name : {"examples/kivu-ridge/presets.json", "examples/haneul/presets.json"}) {
        const DocumentResult document = parseDocument(readFile(name));
        BOOST_REQUIRE(document.has_value());
        const std::string text = toJsonText(document.value());
        BOOST_TEST(toJsonText(parseDocument(text).value()) == text);
    }
}

BOOST_AUTO_TEST_CASE(olderRevisionIsNotAccepted)
{
    ConfigurationHistory history;
    Configuration second = firstConfiguration();
    second.revision = Revision{2};
    BOOST_TEST(history.accept(second));
    BOOST_TEST(!history.accept(firstConfiguration()));
    BOOST_TEST((history.newest()->revision == Revision{2}));
}

BOOST_AUTO_TEST_CASE(switchTakesEffectAtItsTimeAndOldRevisionIsKept)
{
    ConfigurationHistory history;
    history.accept(firstConfiguration());
    const Configuration next
            = applyChange(history.newest(), switchTo("b", "c"), WallTime{1000}, Duration{500})
                      .value();
    history.accept(next);
    BOOST_TEST((history.activeAt(WallTime{1499})->revision == Revision{1}));
    BOOST_TEST((history.activeAt(WallTime{1500})->revision == Revision{2}));
    BOOST_TEST((history.findOrActive(Revision{1}, WallTime{9999})->revision == Revision{1}));
}

BOOST_AUTO_TEST_CASE(changeBasedOnOldRevisionOrUnknownPresetIsRefused)
{
    const Configuration before = firstConfiguration();
    Change change = switchTo("b", "c");
    change.basedOn = Revision{0};
    BOOST_TEST((errorOf(applyChange(&before, change, WallTime{1}, Duration{1}).error())
                == Error::Conflict));
    BOOST_TEST((errorOf(applyChange(&before, switchTo("zz", "c"), WallTime{1}, Duration{1}).error())
                == Error::BadPreset));
}

BOOST_AUTO_TEST_CASE(changeOnLaggingClockTakesEffectNoEarlierThanLastOne)
{
    Configuration before = firstConfiguration();
    before.effectiveAt = WallTime{5000};
    const auto after = applyChange(&before, switchTo("b", "c"), WallTime{1000}, Duration{500});
    BOOST_TEST((after.value().effectiveAt == WallTime{5000}));
}

BOOST_AUTO_TEST_CASE(configurationSurvivesRoundTrip)
{
    const std::string text = toJsonText(firstConfiguration());
    BOOST_TEST(toJsonText(parseConfiguration(text).value()) == text);
    BOOST_TEST(!parseConfiguration("{}").has_value());
}

BOOST_AUTO_TEST_CASE(replacedRevisionKeepsItsPlaceAndAnOlderOneIsIgnored)
{
    ConfigurationHistory history;
    Configuration newest = firstConfiguration();
    newest.revision = Revision{9};
    BOOST_TEST(history.accept(newest));
    Configuration replacement = newest;
    replacement.change = ChangeId{"written again"};
    BOOST_TEST(!history.accept(replacement));
    history.replaceOrAccept(replacement);
    BOOST_TEST((history.newest()->change == replacement.change));
    Configuration older = firstConfiguration();
    older.revision = Revision{5};
    history.replaceOrAccept(older);
    BOOST_TEST((history.newest()->revision == Revision{9}));
}

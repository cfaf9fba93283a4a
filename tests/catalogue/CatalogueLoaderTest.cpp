#include "hornbeamlane_catalogue/hornbeamlane_catalogue.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace hornbeamlane {
namespace {

constexpr const char *classes = R"({"entries": [
    {"kind": "class", "name": "counter", "owner": "ops", "class": "counter", "limits": {}, "priority": 5}]})";

std::string modelFile(const std::string &name, const std::string &limits)
{
    return R"({"entries": [{"limits": )" + limits + R"(, "name": ")" + name
        + R"(", "kind": "model", "owner": "ops", "class": "counter"}]})";
}

// Guards against a fault whose file the operator has to guess, and against reporting the place in the merged document.
TEST(CatalogueLoader, NamesFilePathAndRuleOfEveryFault)
{
    CatalogueFileFaults faults;
    const std::vector<CatalogueFile> files = {
        {"d.json", R"({"entries": [], "entries": []})"}, {"c.json", "{"},
        {"b.json", modelFile("draft", "{\"x\": 1}")},    {"a.json", classes},
        {"e.json", R"({"entries": 3, "other": 1})"},     {"f.json", modelFile("draft", "{}")}};
    EXPECT_FALSE(loadCatalogue(files, faults).has_value());
    std::vector<std::string> texts;
    for (const auto &fault : faults) {
        texts.push_back(fault.toString());
    }
    for (const std::string expected :
         {"b.json: /entries/0/limits/x: is not a known field", "c.json: /: is not valid JSON",
          "d.json: /: repeats the field 'entries' within one object", "e.json: /entries: must be an array of objects",
          "e.json: /other: is not a known field",
          "f.json: /entries/0/name: is already used by another entry of its kind"}) {
        EXPECT_NE(std::find(texts.begin(), texts.end(), expected), texts.end()) << expected;
    }
    EXPECT_EQ(texts.size(), 6U);
}

// Guards against stored documents that differ by file layout only, which would show up as changes.
TEST(CatalogueLoader, StoresTheSameDocumentWhateverTheLayout)
{
    CatalogueFileFaults faults;
    const auto one = loadCatalogue(
        {{"a", modelFile("m", "{}")}, {"b", modelFile("k", "{\"concurrency\": 3}")}, {"c", classes}}, faults);
    const auto other = loadCatalogue(
        {{"a", classes}, {"b", modelFile("k", "{\"concurrency\": 3}")}, {"c", modelFile("m", "{}")}}, faults);
    ASSERT_TRUE(one && other);
    EXPECT_EQ(one->document, other->document);
    EXPECT_EQ(canonicalDocument(one->document), one->document);
    EXPECT_FALSE(canonicalDocument("[]").has_value());
    EXPECT_TRUE(diffCatalogues(one->document, other->document)->isEmpty());
}

// Guards against a diff that hides a changed limit.
TEST(CatalogueDiff, NamesAddedRemovedAndChangedEntries)
{
    const auto diff = diffCatalogues(
        R"({"entries": [{"kind": "model", "name": "a", "limits": {"x": 1}}, {"kind": "model", "name": "b"}]})",
        R"({"entries": [{"kind": "team", "name": "b"}, {"kind": "model", "name": "a", "limits": {"x": 2}, "o": 1}]})");
    ASSERT_TRUE(diff.has_value());
    EXPECT_EQ(diff->added, (std::vector<CatalogueEntryKey>{{"team", "b"}}));
    EXPECT_EQ(diff->removed, (std::vector<CatalogueEntryKey>{{"model", "b"}}));
    EXPECT_EQ(diff->changed, (std::vector<ChangedCatalogueEntry>{{{"model", "a"}, {"/limits/x", "/o"}}}));
    EXPECT_FALSE(diffCatalogues("[]", "{}").has_value());
}

} // namespace
} // namespace hornbeamlane

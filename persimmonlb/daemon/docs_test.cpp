#include <fstream>
#include <sstream>
#include <string>

#include <boost/test/unit_test.hpp>

#include "persimmonlb/base/resultcode.h"
#include "persimmonlb/daemon/settings.h"

namespace persimmonlb
{

namespace
{

std::string readPage(const std::string &name)
{
    std::ifstream file(std::string(PERSIMMONLB_SOURCE_DIR) + "/docs/" + name);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

std::string resultCodeTable()
{
    std::ostringstream out;
    out << "| number | name | HTTP | run | meaning | what to do |\n| --- | --- | --- | --- | --- | "
           "--- |\n";
    for (const ResultCodeInfo &row : allResultCodes()) {
        out << "| " << static_cast<int>(row.code) << " | `" << row.name << "` | " << row.httpStatus
            << " | " << toString(row.run) << " | " << row.meaning << " | " << row.advice << " |\n";
    }
    return out.str();
}

std::string typeName(SettingType type)
{
    switch (type) {
    case SettingType::Text:
        return "string";
    case SettingType::Integer:
        return "integer";
    case SettingType::Boolean:
        return "boolean";
    case SettingType::TextList:
        break;
    }
    return "list of strings";
}

std::string settingsTable()
{
    std::ostringstream out;
    out << "| key | type | unit | range | default | meaning |\n| --- | --- | --- | --- | --- | --- "
           "|\n";
    for (const SettingInfo &row : allSettings()) {
        const bool ranged = row.type == SettingType::Integer;
        out << "| `" << row.key << "` | " << typeName(row.type) << " | " << row.unit << " | ";
        if (ranged) {
            out << row.least << " to " << row.most;
        }
        out << " | " << (row.defaultText.empty() ? "required" : row.defaultText) << " | "
            << row.meaning << " |\n";
    }
    return out.str();
}

void requirePart(const std::string &page, const std::string &table)
{
    BOOST_TEST(readPage(page).find(table) != std::string::npos,
               "docs/" + page + " must hold this table:\n" + table);
}

} // namespace

BOOST_AUTO_TEST_SUITE(DocsTest)

BOOST_AUTO_TEST_CASE(resultCodePageHoldsTheTableOfTheCode)
{
    requirePart("RESULT-CODES.md", resultCodeTable());
}

BOOST_AUTO_TEST_CASE(settingsPageHoldsTheTableOfTheCode)
{
    requirePart("SETTINGS.md", settingsTable());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace persimmonlb

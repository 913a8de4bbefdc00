#include "persimmonlb/sheet/internal/tablereader.h"

#include <algorithm>
#include <cmath>

namespace persimmonlb::internal
{

namespace
{

constexpr std::size_t maxNameLength = 128;
constexpr std::size_t sha256Digits = 64;

bool isNameCharacter(char character)
{
    return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z')
        || (character >= '0' && character <= '9') || character == '.' || character == '_'
        || character == '-';
}

bool isName(const std::string &text)
{
    return !text.empty() && text.size() <= maxNameLength
        && std::ranges::all_of(text, isNameCharacter);
}

bool isLowerHexDigit(char character)
{
    return (character >= '0' && character <= '9') || (character >= 'a' && character <= 'f');
}

std::string joined(const std::vector<std::string> &choices)
{
    std::string text;
    for (const std::string &choice : choices) {
        text += (text.empty() ? "\"" : " or \"") + choice + "\"";
    }
    return text;
}

} // namespace

TableReader::TableReader(const toml::table &table, std::string where)
    : table_(table)
    , where_(std::move(where))
{
}

const toml::node *TableReader::find(std::string_view key)
{
    asked_.emplace(key);
    return table_.get(key);
}

void TableReader::refuse(std::string_view key, const std::string &problem)
{
    if (!error_.empty()) {
        return;
    }
    const toml::node *node = table_.get(key);
    const auto line = (node != nullptr ? node->source() : table_.source()).begin.line;
    error_ = "line " + std::to_string(line) + ": " + (where_.empty() ? "" : where_ + ".")
        + std::string(key) + ": " + problem;
}

std::optional<std::string> TableReader::text(std::string_view key, bool required)
{
    const toml::node *node = find(key);
    if (node == nullptr) {
        if (required) {
            refuse(key, "is missing");
        }
        return std::nullopt;
    }
    if (!node->is_string()) {
        refuse(key, "must be a string");
        return std::nullopt;
    }
    return node->as_string()->get();
}

std::string TableReader::name(std::string_view key)
{
    const auto value = text(key, true);
    if (value && !isName(*value)) {
        refuse(key, "must be 1 to 128 letters, digits, '.', '_' or '-'");
    }
    return value.value_or("");
}

std::string TableReader::optionalName(std::string_view key)
{
    asked_.emplace(key);
    return table_.contains(key) ? name(key) : std::string();
}

std::string TableReader::choice(std::string_view key, const std::vector<std::string> &choices,
                                const std::string &fallback)
{
    std::string value = text(key, fallback.empty()).value_or(fallback);
    if (std::ranges::find(choices, value) == choices.end()) {
        refuse(key, "must be " + joined(choices));
    }
    return value;
}

std::vector<std::string> TableReader::names(std::string_view key)
{
    const toml::node *node = find(key);
    if (node == nullptr) {
        return {};
    }
    if (!node->is_array()) {
        refuse(key, "must be a list of strings");
        return {};
    }
    std::vector<std::string> values;
    for (const toml::node &element : *node->as_array()) {
        const auto *value = element.as_string();
        if (value == nullptr || !isName(value->get())) {
            refuse(key, "must be a list of names of letters, digits, '.', '_' or '-'");
            return {};
        }
        values.push_back(value->get());
    }
    return values;
}

std::string TableReader::sha256(std::string_view key)
{
    const auto value = text(key, true);
    if (value && (value->size() != sha256Digits || !std::ranges::all_of(*value, isLowerHexDigit))) {
        refuse(key, "must be a SHA-256 as 64 lower-case hexadecimal digits");
    }
    return value.value_or("");
}

std::uint64_t TableReader::integer(std::string_view key, std::optional<std::uint64_t> fallback,
                                   std::uint64_t least, std::uint64_t most)
{
    const toml::node *node = find(key);
    if (node == nullptr) {
        if (!fallback) {
            refuse(key, "is missing");
        }
        return fallback.value_or(least);
    }
    const auto *value = node->as_integer();
    const bool inRange = value != nullptr && value->get() >= 0
        && static_cast<std::uint64_t>(value->get()) >= least
        && static_cast<std::uint64_t>(value->get()) <= most;
    if (!inRange) {
        refuse(key,
               "must be an integer from " + std::to_string(least) + " to " + std::to_string(most));
        return least;
    }
    return static_cast<std::uint64_t>(value->get());
}

double TableReader::number(std::string_view key, double most)
{
    const toml::node *node = find(key);
    if (node == nullptr) {
        refuse(key, "is missing");
        return 0;
    }
    const auto value = node->is_number() ? node->value<double>() : std::nullopt;
    if (!value || !std::isfinite(*value) || *value < 0 || *value > most) {
        refuse(key, "must be a number from 0 to " + std::to_string(std::llround(most)));
        return 0;
    }
    return *value;
}

std::vector<const toml::table *> TableReader::tables(std::string_view key)
{
    const toml::node *node = find(key);
    if (node == nullptr) {
        return {};
    }
    std::vector<const toml::table *> tables;
    const auto *array = node->as_array();
    if (array == nullptr) {
        refuse(key, "must be written as [[" + std::string(key) + "]]");
        return {};
    }
    for (const toml::node &element : *array) {
        if (!element.is_table()) {
            refuse(key, "must be written as [[" + std::string(key) + "]]");
            return {};
        }
        tables.push_back(element.as_table());
    }
    return tables;
}

Result<void> TableReader::finish()
{
    for (const auto &[key, node] : table_) {
        if (!asked_.contains(std::string_view(key.str()))) {
            refuse(key.str(), "is not a known key");
        }
    }
    if (!error_.empty()) {
        return fail(ResultCode::SheetMalformed, error_);
    }
    return {};
}

} // namespace persimmonlb::internal

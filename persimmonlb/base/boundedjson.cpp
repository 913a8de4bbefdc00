#include "persimmonlb/base/boundedjson.h"

#include <string>

#include <nlohmann/json.hpp>

namespace persimmonlb
{

namespace
{

using Json = nlohmann::json;

/// Ends the parsing of a document after too many values. Keeps nothing.
class ValueCounter final : public nlohmann::json_sax<Json>
{
public:
    explicit ValueCounter(std::size_t maxValues)
        : left_(maxValues)
    {
    }

    bool null() override
    {
        return count();
    }
    bool boolean(bool /*value*/) override
    {
        return count();
    }
    bool number_integer(std::int64_t /*value*/) override
    {
        return count();
    }
    bool number_unsigned(std::uint64_t /*value*/) override
    {
        return count();
    }
    bool number_float(double /*value*/, const std::string & /*text*/) override
    {
        return count();
    }
    bool string(std::string & /*value*/) override
    {
        return count();
    }
    bool binary(Json::binary_t & /*value*/) override
    {
        return count();
    }
    bool start_object(std::size_t /*elements*/) override
    {
        return count();
    }
    bool key(std::string & /*name*/) override
    {
        return count();
    }
    bool end_object() override
    {
        return true;
    }
    bool start_array(std::size_t /*elements*/) override
    {
        return count();
    }
    bool end_array() override
    {
        return true;
    }
    bool parse_error(std::size_t /*position*/, const std::string & /*token*/,
                     const nlohmann::detail::exception & /*error*/) override
    {
        return false;
    }

private:
    bool count()
    {
        if (left_ == 0) {
            return false;
        }
        --left_;
        return true;
    }

    std::size_t left_;
};

bool hasAtMost(std::string_view text, std::size_t maxValues)
{
    // A value and what separates it from the next one are two bytes or more.
    if (text.size() / 2 < maxValues) {
        return true;
    }
    ValueCounter counter(maxValues);
    return Json::sax_parse(text, &counter);
}

} // namespace

nlohmann::json parseBoundedJson(std::string_view text, std::size_t maxValues)
{
    return hasAtMost(text, maxValues) ? Json::parse(text, nullptr, false)
                                      : Json(Json::value_t::discarded);
}

} // namespace persimmonlb

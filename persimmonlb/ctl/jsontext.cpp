#include "persimmonlb/ctl/internal/jsontext.h"

#include <nlohmann/json.hpp>

namespace persimmonlb
{

using Json = nlohmann::json;

namespace
{

const Json *find(const Json &object, const char *key)
{
    if (!object.is_object()) {
        return nullptr;
    }
    const auto found = object.find(key);
    return found == object.end() ? nullptr : &*found;
}

} // namespace

Json parseObject(const std::string &body)
{
    Json json = Json::parse(body, nullptr, false);
    return json.is_object() ? json : Json::object();
}

std::string textOf(const Json &object, const char *key)
{
    const Json *value = find(object, key);
    if (value == nullptr || value->is_null()) {
        return "";
    }
    if (value->is_boolean()) {
        return value->get<bool>() ? "yes" : "no";
    }
    return value->is_string() ? value->get<std::string>()
                              : value->dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::int64_t numberOf(const Json &object, const char *key)
{
    const Json *value = find(object, key);
    return value != nullptr && value->is_number() ? value->get<std::int64_t>() : 0;
}

const Json &arrayOf(const Json &object, const char *key)
{
    static const Json empty = Json::array();
    const Json *value = find(object, key);
    return value != nullptr && value->is_array() ? *value : empty;
}

} // namespace persimmonlb

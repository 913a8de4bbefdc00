#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

#include "persimmonlb/wire/internal/messagefields.h"

namespace persimmonlb::internal
{

/// Collects a message as a JSON value that nlohmann writes as CBOR.
class FieldWriter
{
public:
    using Json = nlohmann::json;

    static constexpr bool isWriter = true;

    Json take()
    {
        return std::move(value_);
    }

    template <typename T>
    void field(const char *name, const T &value)
    {
        if constexpr (std::is_same_v<T, bool>) {
            value_[name] = value;
        } else if (!(value == T{})) {
            value_[name] = toJson(value);
        }
    }
    void bytes(const char *name, const std::string &value)
    {
        if (!value.empty()) {
            value_[name] = toBinary(value);
        }
    }
    template <typename T>
    void enumeration(const char *name, T value, T)
    {
        value_[name] = static_cast<std::uint64_t>(value);
    }
    void code(const char *name, ResultCode value)
    {
        value_[name] = static_cast<std::uint64_t>(value);
    }
    void share(const char *name, double value, double)
    {
        value_[name] = value;
    }
    void rate(const char *name, double value)
    {
        value_[name] = value;
    }
    template <typename T>
    void structure(const char *name, const T &value)
    {
        value_[name] = elementToJson(value);
    }
    template <typename T>
    void list(const char *name, const std::vector<T> &values)
    {
        if (values.empty()) {
            return;
        }
        Json::array_t elements;
        elements.reserve(values.size());
        for (const T &value : values) {
            elements.push_back(elementToJson(value));
        }
        value_[name] = std::move(elements);
    }

    template <typename T>
    void position(const T &value)
    {
        value_.push_back(toJson(value));
    }
    template <typename T>
    void enumPosition(T value, T)
    {
        value_.push_back(static_cast<std::uint64_t>(value));
    }
    void bytesPosition(const std::string &value)
    {
        value_.push_back(toBinary(value));
    }

private:
    static Json toBinary(const std::string &value)
    {
        return Json::binary({value.begin(), value.end()});
    }
    template <typename T>
    static Json toJson(const T &value)
    {
        return value;
    }
    template <typename Tag>
    static Json toJson(const StringId<Tag> &id)
    {
        return id.value;
    }
    template <typename T>
    static Json elementToJson(const T &value)
    {
        if constexpr (requires(FieldWriter & writer) { describePositions(writer, value); }) {
            FieldWriter writer;
            writer.value_ = Json::array();
            describePositions(writer, value);
            return writer.take();
        } else if constexpr (requires(FieldWriter & writer) { describeFields(writer, value); }) {
            FieldWriter writer;
            describeFields(writer, value);
            return writer.take();
        } else {
            return toJson(value);
        }
    }

    Json value_ = Json::object();
};

} // namespace persimmonlb::internal

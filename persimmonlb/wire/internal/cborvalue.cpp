#include "persimmonlb/wire/internal/cborvalue.h"

#include <map>
#include <utility>

#include <nlohmann/json.hpp>

namespace persimmonlb::internal
{

namespace
{

/// A std::string that the library can tell from text.
struct ByteString : std::string {
    using std::string::string;
};

/// As nlohmann::json, with byte strings that can be moved out into a std::string.
using Json
    = nlohmann::basic_json<std::map, std::vector, std::string, bool, std::int64_t, std::uint64_t,
                           double, std::allocator, nlohmann::adl_serializer, ByteString>;

/// Builds a CborValue from the parser's events. The parser recurses for each level of nesting, so
/// that the depth has to be bounded here.
class ValueBuilder
{
public:
    // NOLINTBEGIN: names of nlohmann's SAX interface
    bool null()
    {
        return add({});
    }
    bool boolean(bool value)
    {
        return add({value});
    }
    bool number_integer(std::int64_t value)
    {
        return add({value});
    }
    bool number_unsigned(std::uint64_t value)
    {
        return add({value});
    }
    bool number_float(double value, const std::string &)
    {
        return add({value});
    }
    bool string(std::string &value)
    {
        return add({std::move(value)});
    }
    bool binary(Json::binary_t &value)
    {
        return add({std::move(static_cast<std::string &>(value))});
    }
    bool start_object(std::size_t)
    {
        return open({CborMap()});
    }
    bool key(std::string &name)
    {
        std::get<CborMap>(open_.back()->data).push_back({std::move(name), CborValue()});
        return true;
    }
    bool end_object()
    {
        return close();
    }
    bool start_array(std::size_t)
    {
        return open({CborArray()});
    }
    bool end_array()
    {
        return close();
    }
    bool parse_error(std::size_t, const std::string &, const nlohmann::detail::exception &)
    {
        return false;
    }
    // NOLINTEND

    CborValue take()
    {
        return std::move(root_);
    }

private:
    bool add(CborValue value)
    {
        place(std::move(value));
        return true;
    }
    bool open(CborValue container)
    {
        if (open_.size() == maxCborDepth) {
            return false;
        }
        open_.push_back(place(std::move(container)));
        return true;
    }
    bool close()
    {
        open_.pop_back();
        return true;
    }
    CborValue *place(CborValue value)
    {
        if (open_.empty()) {
            root_ = std::move(value);
            return &root_;
        }
        if (auto *array = std::get_if<CborArray>(&open_.back()->data)) {
            array->push_back(std::move(value));
            return &array->back();
        }
        CborValue &slot = std::get<CborMap>(open_.back()->data).back().value;
        slot = std::move(value);
        return &slot;
    }

    CborValue root_;
    /// Containers that are being filled. A parent does not grow while a child is open.
    std::vector<CborValue *> open_;
};

} // namespace

std::optional<CborValue> parseCbor(std::string_view bytes)
{
    ValueBuilder builder;
    const bool whole
        = Json::sax_parse(bytes.begin(), bytes.end(), &builder, Json::input_format_t::cbor, true);
    if (!whole) {
        return std::nullopt;
    }
    return builder.take();
}

} // namespace persimmonlb::internal

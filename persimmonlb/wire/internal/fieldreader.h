#pragma once

#include <cmath>
#include <limits>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <vector>

#include "persimmonlb/wire/internal/cborvalue.h"
#include "persimmonlb/wire/internal/messagefields.h"

namespace persimmonlb::internal
{

/// Fills a message from a CBOR map or array; moves texts out of it. The first field of a wrong
/// type or range is remembered and stops the reading.
class FieldReader
{
public:
    static constexpr bool isWriter = false;

    explicit FieldReader(CborValue &value)
        : value_(value)
    {
    }

    [[nodiscard]] bool failed() const
    {
        return failed_;
    }
    /// Name of the field that is wrong.
    [[nodiscard]] const std::string &failedField() const
    {
        return failedField_;
    }

    template <typename T>
    void field(std::string_view name, T &out)
    {
        readNamed(name, [&out](CborValue &value) { return read(value, out); });
    }
    void bytes(std::string_view name, std::string &out)
    {
        field(name, out);
    }
    template <typename T>
    void enumeration(std::string_view name, T &out, T last)
    {
        readNamed(name, [&out, last](CborValue &value) { return readEnum(value, out, last); });
    }
    void code(std::string_view name, ResultCode &out)
    {
        readNamed(name, [&out](CborValue &value) { return readCode(value, out); });
    }
    /// A number from 0 to `most`.
    void share(std::string_view name, double &out, double most)
    {
        readNamed(name, [&out, most](CborValue &value) { return readDouble(value, out, most); });
    }
    /// A finite number that is not negative.
    void rate(std::string_view name, double &out)
    {
        share(name, out, std::numeric_limits<double>::max());
    }
    template <typename T>
    void structure(std::string_view name, T &out)
    {
        readNamed(name, [this, &out](CborValue &value) { return readFields(value, out); });
    }
    template <typename T>
    void list(std::string_view name, std::vector<T> &out)
    {
        readNamed(name, [this, &out](CborValue &value) { return readList(value, out); });
    }

    template <typename T>
    void position(T &out)
    {
        readNext([&out](CborValue &value) { return read(value, out); });
    }
    template <typename T>
    void enumPosition(T &out, T last)
    {
        readNext([&out, last](CborValue &value) { return readEnum(value, out, last); });
    }
    void bytesPosition(std::string &out)
    {
        position(out);
    }

private:
    template <typename Read>
    void readNamed(std::string_view name, Read read)
    {
        auto *map = std::get_if<CborMap>(&value_.data);
        if (failed_ || map == nullptr) {
            fail(name);
            return;
        }
        for (auto &[key, value] : *map) {
            if (key != name) {
                continue;
            }
            if (!read(value)) {
                fail(name);
            }
            return;
        }
    }

    template <typename Read>
    void readNext(Read read)
    {
        auto *array = std::get_if<CborArray>(&value_.data);
        if (failed_ || array == nullptr || next_ >= array->size() || !read((*array)[next_])) {
            fail("position");
            return;
        }
        ++next_;
    }

    void fail(std::string_view name)
    {
        if (!failed_) {
            failed_ = true;
            failedField_ = name;
        }
    }

    static bool read(CborValue &value, bool &out)
    {
        const bool *flag = std::get_if<bool>(&value.data);
        out = flag != nullptr && *flag;
        return flag != nullptr;
    }
    static bool read(CborValue &value, std::uint64_t &out)
    {
        const auto *number = std::get_if<std::uint64_t>(&value.data);
        out = number != nullptr ? *number : 0;
        return number != nullptr;
    }
    static bool read(CborValue &value, std::uint32_t &out)
    {
        std::uint64_t number = 0;
        const bool fits
            = read(value, number) && number <= std::numeric_limits<std::uint32_t>::max();
        out = fits ? static_cast<std::uint32_t>(number) : 0;
        return fits;
    }
    static bool read(CborValue &value, std::string &out)
    {
        auto *text = std::get_if<std::string>(&value.data);
        if (text == nullptr) {
            return false;
        }
        out = std::move(*text);
        return true;
    }
    template <typename Tag>
    static bool read(CborValue &value, StringId<Tag> &out)
    {
        return read(value, out.value);
    }
    template <typename T>
    static bool readEnum(CborValue &value, T &out, T last)
    {
        std::uint64_t number = 0;
        if (!read(value, number) || number > static_cast<std::uint64_t>(last)) {
            return false;
        }
        out = static_cast<T>(number);
        return true;
    }
    static bool readCode(CborValue &value, ResultCode &out)
    {
        std::uint64_t number = 0;
        if (!read(value, number) || number > std::numeric_limits<std::uint16_t>::max()) {
            return false;
        }
        const auto code = resultCodeFromNumber(static_cast<std::uint16_t>(number));
        out = code.value_or(ResultCode::Internal);
        return code.has_value();
    }
    static bool readDouble(CborValue &value, double &out, double most)
    {
        const double *number = std::get_if<double>(&value.data);
        if (number == nullptr || !(*number >= 0 && *number <= most)) {
            return false;
        }
        out = *number;
        return true;
    }
    template <typename T>
    bool readFields(CborValue &value, T &out)
    {
        FieldReader reader(value);
        describeFields(reader, out);
        return !reader.failed();
    }
    template <typename T>
    bool readPositions(CborValue &value, T &out)
    {
        FieldReader reader(value);
        describePositions(reader, out);
        return !reader.failed();
    }
    template <typename T>
    bool readElement(CborValue &value, T &out)
    {
        if constexpr (requires { read(value, out); }) {
            return read(value, out);
        } else if constexpr (requires(FieldReader & reader) { describePositions(reader, out); }) {
            return readPositions(value, out);
        } else {
            return readFields(value, out);
        }
    }
    template <typename T>
    bool readList(CborValue &value, std::vector<T> &out)
    {
        auto *array = std::get_if<CborArray>(&value.data);
        if (array == nullptr) {
            return false;
        }
        out.reserve(array->size());
        for (CborValue &element : *array) {
            if (!readElement(element, out.emplace_back())) {
                return false;
            }
        }
        return true;
    }

    CborValue &value_;
    std::size_t next_ = 0;
    bool failed_ = false;
    std::string failedField_;
};

} // namespace persimmonlb::internal

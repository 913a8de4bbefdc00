#include "persimmonlb/http/message.h"

#include <algorithm>

namespace persimmonlb
{

namespace
{

char lowerCase(char letter)
{
    return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter - 'A' + 'a') : letter;
}

bool equalWithoutCase(std::string_view left, std::string_view right)
{
    return std::ranges::equal(left, right, {}, lowerCase, lowerCase);
}

} // namespace

std::string_view HttpHeaders::find(std::string_view name) const
{
    for (const HttpHeader &field : fields) {
        if (equalWithoutCase(field.name, name)) {
            return field.value;
        }
    }
    return {};
}

bool HttpHeaders::contains(std::string_view name) const
{
    return std::ranges::any_of(
        fields, [name](const HttpHeader &field) { return equalWithoutCase(field.name, name); });
}

} // namespace persimmonlb

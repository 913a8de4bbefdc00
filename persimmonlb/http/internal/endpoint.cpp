#include "persimmonlb/http/internal/endpoint.h"

#include <charconv>
#include <cstdint>

namespace persimmonlb::internal
{

std::optional<boost::asio::ip::tcp::endpoint> parseEndpoint(std::string_view address)
{
    const std::size_t colon = address.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    const std::string_view digits = address.substr(colon + 1);
    std::uint16_t port = 0;
    const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (digits.empty() || parsed.ec != std::errc() || parsed.ptr != digits.data() + digits.size()) {
        return std::nullopt;
    }
    std::string_view host = address.substr(0, colon);
    if (host.starts_with('[') && host.ends_with(']')) {
        host = host.substr(1, host.size() - 2);
    }
    boost::system::error_code error;
    const auto ip = boost::asio::ip::make_address(host, error);
    if (error) {
        return std::nullopt;
    }
    return boost::asio::ip::tcp::endpoint(ip, port);
}

} // namespace persimmonlb::internal

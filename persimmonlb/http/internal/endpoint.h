#pragma once

#include <optional>
#include <string_view>

#include <boost/asio/ip/tcp.hpp>

namespace persimmonlb::internal
{

/// Parses "ip:port" or "[ipv6]:port"; names are not resolved.
std::optional<boost::asio::ip::tcp::endpoint> parseEndpoint(std::string_view address);

} // namespace persimmonlb::internal

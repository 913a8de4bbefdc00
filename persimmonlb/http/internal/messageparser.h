#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>

#include "persimmonlb/http/callermemory.h"
#include "persimmonlb/http/message.h"

namespace persimmonlb::internal
{

/// Beast's incremental parser, kept within bounds that it does not keep itself: the header
/// section as a whole is limited however it is cut into packets, and so are chunk headers and
/// trailers. Trailers are dropped. Body bytes collect in body().
template <bool isRequest>
class MessageParser : public boost::beast::http::basic_parser<isRequest>
{
public:
    using ErrorCode = boost::beast::error_code;
    using View = boost::beast::string_view;
    using Base = boost::beast::http::basic_parser<isRequest>;

    MessageParser(std::uint32_t maxHeaderBytes, std::uint64_t maxBodyBytes)
        : maxHeaderBytes_(maxHeaderBytes)
    {
        Base::header_limit(maxHeaderBytes);
        Base::body_limit(maxBodyBytes);
        Base::eager(true);
    }

    /// Parses as much as it can and returns how many bytes it used up; call it again with the
    /// rest and what follows. An error is final.
    std::size_t feed(std::string_view bytes, ErrorCode &error)
    {
        std::size_t used = 0;
        while (used < bytes.size() && !Base::is_done() && canTake(bytes.size() - used)) {
            const std::size_t taken = Base::put(boost::asio::buffer(bytes.substr(used)), error);
            used += taken;
            if (error) {
                break;
            }
        }
        if (error == boost::beast::http::error::need_more) {
            error = {};
        }
        limitUnparsed(used, bytes.size() - used, error);
        return used;
    }

    [[nodiscard]] const std::string &method() const
    {
        return method_;
    }
    [[nodiscard]] const std::string &target() const
    {
        return target_;
    }
    /// 10 for HTTP/1.0, 11 for HTTP/1.1.
    [[nodiscard]] int version() const
    {
        return version_;
    }
    /// The head says that a body follows, whether or not the message may have one.
    [[nodiscard]] bool announcesBody() const
    {
        return Base::chunked() || Base::content_length().value_or(0) > 0;
    }
    [[nodiscard]] std::uint16_t status() const
    {
        return status_;
    }
    HttpHeaders &headers()
    {
        return headers_;
    }
    std::string &body()
    {
        return body_;
    }
    /// Memory that the parsed message takes, with what its strings and fields have in reserve.
    [[nodiscard]] std::uint64_t allocatedBytes() const
    {
        return heapBytes(method_) + heapBytes(target_) + heapBytes(body_) + fieldHeapBytes_
            + fieldArrayBytes(headers_);
    }

private:
    /// Beast requires five bytes to look at a last chunk again.
    [[nodiscard]] bool canTake(std::size_t size) const
    {
        constexpr std::size_t leastLastChunk = 5;
        const bool atChunkHeader
            = Base::is_header_done() && Base::chunked() && chunkRemaining_ == 0;
        return !atChunkHeader || size >= leastLastChunk;
    }

    void limitUnparsed(std::size_t used, std::size_t unparsed, ErrorCode &error)
    {
        if (error || Base::is_done()) {
            return;
        }
        if (!Base::is_header_done()) {
            headerBytes_ += used;
            if (headerBytes_ + unparsed > maxHeaderBytes_) {
                error = boost::beast::http::error::header_limit;
            }
            return;
        }
        if (unparsed > maxHeaderBytes_) {
            error = boost::beast::http::error::bad_chunk;
        }
    }

    void on_request_impl(boost::beast::http::verb, View method, View target, // NOLINT
                         int version, ErrorCode &) override
    {
        version_ = version;
        method_.assign(method.data(), method.size());
        target_.assign(target.data(), target.size());
    }
    void on_response_impl(int code, View, int version, ErrorCode &error) override // NOLINT
    {
        // Beast takes any three digits.
        constexpr int lowestStatus = 100;
        constexpr int highestStatus = 599;
        if (code < lowestStatus || code > highestStatus) {
            error = boost::beast::http::error::bad_status;
            return;
        }
        version_ = version;
        status_ = static_cast<std::uint16_t>(code);
    }
    void on_field_impl(boost::beast::http::field, View name, View value, // NOLINT: Beast's name
                       ErrorCode &error) override
    {
        if (Base::is_header_done()) {
            return;
        }
        fieldBytes_ += name.size() + value.size();
        if (fieldBytes_ > maxHeaderBytes_) {
            error = boost::beast::http::error::header_limit;
            return;
        }
        headers_.fields.push_back({std::string(name), std::string(value)});
        const HttpHeader &field = headers_.fields.back();
        fieldHeapBytes_ += heapBytes(field.name) + heapBytes(field.value);
    }
    void on_header_impl(ErrorCode &error) override // NOLINT: Beast's name
    {
        // An encoding other than chunked would leave the body to be read as a next message.
        if (headers_.contains("Transfer-Encoding") && !Base::chunked()) {
            error = boost::beast::http::error::bad_transfer_encoding;
        }
        if constexpr (!isRequest) {
            // No other encoding was offered to the server, and none is undone here.
            const std::string_view encoding = headers_.find("Transfer-Encoding");
            if (!encoding.empty() && !boost::beast::iequals(encoding, "chunked")) {
                error = boost::beast::http::error::bad_transfer_encoding;
            }
        }
    }
    void on_body_init_impl(const boost::optional<std::uint64_t> &, ErrorCode &) override // NOLINT
    {
    }
    std::size_t on_body_impl(View piece, ErrorCode &) override // NOLINT: Beast's name
    {
        body_.append(piece.data(), piece.size());
        return piece.size();
    }
    void on_chunk_header_impl(std::uint64_t size, View, ErrorCode &) override // NOLINT
    {
        chunkRemaining_ = size;
    }
    std::size_t on_chunk_body_impl(std::uint64_t remaining, View piece, // NOLINT: Beast's name
                                   ErrorCode &) override
    {
        body_.append(piece.data(), piece.size());
        chunkRemaining_ = remaining - piece.size();
        return piece.size();
    }
    void on_finish_impl(ErrorCode &) override // NOLINT: Beast's name
    {
    }

    std::uint32_t maxHeaderBytes_;
    std::uint64_t headerBytes_ = 0;
    std::uint64_t fieldBytes_ = 0;
    std::uint64_t fieldHeapBytes_ = 0;
    std::uint64_t chunkRemaining_ = 0;
    int version_ = 0;
    std::uint16_t status_ = 0;
    std::string method_;
    std::string target_;
    HttpHeaders headers_;
    std::string body_;
};

using RequestParser = MessageParser<true>;
using ResponseParser = MessageParser<false>;

} // namespace persimmonlb::internal

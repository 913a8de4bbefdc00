#include "persimmonlb/wire/internal/handshake.h"

#include <algorithm>
#include <array>
#include <random>
#include <utility>

#include <nlohmann/json.hpp>

#include "persimmonlb/base/digest.h"
#include "persimmonlb/wire/internal/cborvalue.h"

namespace persimmonlb::internal
{

namespace
{

constexpr std::uint64_t protocolVersion = 1;
constexpr std::size_t nonceDigits = 64;

/// Every message of the handshake; fields that it does not need are empty.
struct HandshakeMessage {
    std::uint64_t version = 0;
    std::string host;
    std::string nonce;
    std::string proof;
};

std::string encode(const HandshakeMessage &message)
{
    const nlohmann::json json
        = {{"v", message.version}, {"h", message.host}, {"n", message.nonce}, {"p", message.proof}};
    std::string bytes;
    nlohmann::json::to_cbor(json, bytes);
    return bytes;
}

std::optional<HandshakeMessage> decode(std::string_view bytes)
{
    auto value = parseCbor(bytes);
    auto *map = value ? std::get_if<CborMap>(&value->data) : nullptr;
    if (map == nullptr) {
        return std::nullopt;
    }
    HandshakeMessage message;
    for (auto &[name, field] : *map) {
        if (const auto *number = std::get_if<std::uint64_t>(&field.data); number && name == "v") {
            message.version = *number;
        }
        auto *text = std::get_if<std::string>(&field.data);
        if (text == nullptr) {
            continue;
        }
        if (name == "h") {
            message.host = std::move(*text);
        } else if (name == "n") {
            message.nonce = std::move(*text);
        } else if (name == "p") {
            message.proof = std::move(*text);
        }
    }
    return message;
}

bool isNonce(std::string_view text)
{
    return text.size() == nonceDigits && std::ranges::all_of(text, [](char digit) {
               return (digit >= '0' && digit <= '9') || (digit >= 'a' && digit <= 'f');
           });
}

Error malformed(const std::string &what)
{
    return makeError(ResultCode::MalformedRequest, what);
}

Error unauthorized(const std::string &what)
{
    return makeError(ResultCode::Unauthorized, what);
}

} // namespace

NonceSource systemNonces()
{
    return [] {
        std::random_device device;
        std::array<std::uint32_t, 8> words{};
        std::ranges::generate(words, [&device] { return device(); });
        // Hashed only for its hexadecimal form.
        return sha256Hex({reinterpret_cast<const char *>(words.data()), sizeof(words)});
    };
}

bool isValidHostId(const HostId &host)
{
    constexpr std::size_t maxHostIdBytes = 128;
    return !host.empty() && host.value.size() <= maxHostIdBytes
        && std::ranges::all_of(host.value, [](char byte) { return byte > ' ' && byte < 0x7f; });
}

Handshake::Handshake(HandshakeIdentity identity, Step step, std::string nonce)
    : identity_(std::move(identity))
    , step_(step)
    , nonce_(std::move(nonce))
{
}

Handshake Handshake::dial(HandshakeIdentity identity, HostId expected, const NonceSource &nonces)
{
    Handshake handshake(std::move(identity), Step::AwaitChallenge, nonces());
    handshake.dialler_ = true;
    handshake.peer_ = std::move(expected);
    handshake.output_
        = encode({protocolVersion, handshake.identity_.self.value, handshake.nonce_, {}});
    return handshake;
}

Handshake Handshake::accept(HandshakeIdentity identity, const NonceSource &nonces)
{
    return {std::move(identity), Step::AwaitHello, nonces()};
}

Outcome<Done> Handshake::receive(std::string_view bytes)
{
    switch (step_) {
    case Step::AwaitHello:
        return receiveHello(bytes);
    case Step::AwaitChallenge:
        return receiveChallenge(bytes);
    case Step::AwaitProof:
        return receiveProof(bytes);
    case Step::AwaitWelcome:
        return receiveWelcome(bytes);
    case Step::Done:
        break;
    }
    return malformed("handshake message after its end");
}

Outcome<Done> Handshake::receiveHello(std::string_view bytes)
{
    auto hello = decode(bytes);
    if (!hello || hello->version != protocolVersion || !isNonce(hello->nonce)) {
        return malformed("not a hello of this protocol version");
    }
    HostId host{std::move(hello->host)};
    if (!isValidHostId(host) || host == identity_.self) {
        return unauthorized("impossible host id");
    }
    peer_ = std::move(host);
    peerNonce_ = std::move(hello->nonce);
    output_ = encode({protocolVersion, identity_.self.value, nonce_, proofOf(false)});
    step_ = Step::AwaitProof;
    return Done{};
}

Outcome<Done> Handshake::receiveChallenge(std::string_view bytes)
{
    auto challenge = decode(bytes);
    if (!challenge || challenge->version != protocolVersion || !isNonce(challenge->nonce)) {
        return malformed("not a challenge of this protocol version");
    }
    if (challenge->host != peer_.value) {
        return unauthorized("another host answers at this address");
    }
    peerNonce_ = std::move(challenge->nonce);
    if (!equalInConstantTime(challenge->proof, proofOf(false))) {
        return unauthorized("wrong proof of the shared key");
    }
    output_ = encode({protocolVersion, {}, {}, proofOf(true)});
    step_ = Step::AwaitWelcome;
    return Done{};
}

Outcome<Done> Handshake::receiveProof(std::string_view bytes)
{
    const auto message = decode(bytes);
    if (!message || !equalInConstantTime(message->proof, proofOf(true))) {
        return unauthorized("wrong proof of the shared key");
    }
    output_ = encode({protocolVersion, {}, {}, {}});
    step_ = Step::Done;
    return Done{};
}

Outcome<Done> Handshake::receiveWelcome(std::string_view bytes)
{
    const auto message = decode(bytes);
    if (!message || message->version != protocolVersion) {
        return malformed("not a welcome");
    }
    step_ = Step::Done;
    return Done{};
}

std::string Handshake::proofOf(bool dialler) const
{
    // Nonces have a fixed length and host ids no line break, so that no two inputs are equal.
    std::string input = dialler ? "dialler\n" : "acceptor\n";
    for (const std::string &part : {dialler_ ? nonce_ : peerNonce_, dialler_ ? peerNonce_ : nonce_,
                                    dialler_ ? identity_.self.value : peer_.value,
                                    dialler_ ? peer_.value : identity_.self.value}) {
        input += part;
        input += '\n';
    }
    return hmacSha256Hex(identity_.sharedKey, input);
}

std::optional<std::string> Handshake::takeOutput()
{
    return std::exchange(output_, std::nullopt);
}

bool Handshake::done() const
{
    return step_ == Step::Done;
}

const HostId &Handshake::peer() const
{
    return peer_;
}

} // namespace persimmonlb::internal

#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "persimmonlb/base/error.h"
#include "persimmonlb/base/ids.h"

namespace persimmonlb::internal
{

/// A fresh random text for each call, never guessable.
using NonceSource = std::function<std::string()>;

/// 256 random bits from the operating system as hexadecimal digits.
NonceSource systemNonces();

struct HandshakeIdentity {
    HostId self;
    std::string sharedKey;
};

/// Mutual proof of the shared key at the start of a connection, without sending it.
///
///   dialler  -> acceptor   hello:     host, nonce
///   acceptor -> dialler    challenge: host, nonce, proof
///   dialler  -> acceptor   proof
///   acceptor -> dialler    welcome
///
/// A proof is HMAC-SHA-256 over the role of its sender, both nonces and both hosts, so that one
/// heard on another connection, or one's own sent back, proves nothing.
///
/// Example, on the dialling side:
///   Handshake handshake = Handshake::dial(identity, {"h2"}, nonces);
///   send(*handshake.takeOutput());
///   for each message: if (!handshake.receive(bytes).ok()) close(); else send what is output
class Handshake
{
public:
    /// `expected`: the host that must answer.
    static Handshake dial(HandshakeIdentity identity, HostId expected, const NonceSource &nonces);
    static Handshake accept(HandshakeIdentity identity, const NonceSource &nonces);

    /// Takes the peer's next message. Errors: MalformedRequest, Unauthorized; then the connection
    /// must be closed.
    Outcome<Done> receive(std::string_view bytes);
    /// The message to send now, if any.
    std::optional<std::string> takeOutput();

    /// The peer has proved the key, and knows that we have.
    [[nodiscard]] bool done() const;
    /// The peer as it says; proved once done().
    [[nodiscard]] const HostId &peer() const;

private:
    enum class Step : std::uint8_t { AwaitHello, AwaitChallenge, AwaitProof, AwaitWelcome, Done };

    Handshake(HandshakeIdentity identity, Step step, std::string nonce);

    Outcome<Done> receiveHello(std::string_view bytes);
    Outcome<Done> receiveChallenge(std::string_view bytes);
    Outcome<Done> receiveProof(std::string_view bytes);
    Outcome<Done> receiveWelcome(std::string_view bytes);
    [[nodiscard]] std::string proofOf(bool dialler) const;

    HandshakeIdentity identity_;
    Step step_;
    bool dialler_ = false;
    std::string nonce_;
    std::string peerNonce_;
    HostId peer_;
    std::optional<std::string> output_;
};

/// A host id as it may stand in messages and logs: 1 to 128 printable characters, no space.
bool isValidHostId(const HostId &host);

} // namespace persimmonlb::internal

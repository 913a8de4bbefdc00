#include <boost/test/unit_test.hpp>

#include "persimmonlb/wire/internal/handshake.h"

namespace persimmonlb::internal
{

namespace
{

/// Distinct, predictable nonces.
NonceSource countedNonces()
{
    auto count = std::make_shared<int>(0);
    return [count] {
        std::string nonce(64, '0');
        nonce.replace(0, 2, std::to_string(10 + (*count)++));
        return nonce;
    };
}

const HandshakeIdentity identity1{{"h1"}, "secret"};
const HandshakeIdentity identity2{{"h2"}, "secret"};

/// Carries messages between both until neither has one; false when one side refuses.
bool run(Handshake &dialler, Handshake &acceptor)
{
    for (;;) {
        if (auto message = dialler.takeOutput()) {
            if (!acceptor.receive(*message).ok()) {
                return false;
            }
            continue;
        }
        if (auto message = acceptor.takeOutput()) {
            if (!dialler.receive(*message).ok()) {
                return false;
            }
            continue;
        }
        return true;
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(HandshakeTest)

BOOST_AUTO_TEST_CASE(bothSidesKnowEachOtherAfterwards)
{
    const NonceSource nonces = systemNonces();
    Handshake dialler = Handshake::dial(identity1, {"h2"}, nonces);
    Handshake acceptor = Handshake::accept(identity2, nonces);
    BOOST_TEST(run(dialler, acceptor));
    BOOST_TEST(dialler.done());
    BOOST_TEST(acceptor.done());
    BOOST_TEST((dialler.peer() == HostId{"h2"}));
    BOOST_TEST((acceptor.peer() == HostId{"h1"}));
    BOOST_TEST(nonces() != nonces());
}

BOOST_AUTO_TEST_CASE(keyIsNeverSent)
{
    Handshake dialler = Handshake::dial(identity1, {"h2"}, countedNonces());
    const auto hello = dialler.takeOutput();
    Handshake acceptor = Handshake::accept(identity2, countedNonces());
    BOOST_REQUIRE(acceptor.receive(*hello).ok());
    const auto challenge = acceptor.takeOutput();
    BOOST_TEST(hello->find("secret") == std::string::npos);
    BOOST_TEST(challenge->find("secret") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(eitherSideRefusesAWrongKey)
{
    Handshake dialler = Handshake::dial({{"h1"}, "guess"}, {"h2"}, countedNonces());
    Handshake acceptor = Handshake::accept(identity2, countedNonces());
    BOOST_TEST(!run(dialler, acceptor));
    BOOST_TEST(!dialler.done());
    BOOST_TEST(!acceptor.done());

    // A dialler that goes on with a proof of its own making.
    Handshake cheating = Handshake::dial({{"h1"}, "guess"}, {"h2"}, countedNonces());
    Handshake cheated = Handshake::accept({{"h2"}, "guess"}, countedNonces());
    Handshake honest = Handshake::accept(identity2, countedNonces());
    const auto hello = cheating.takeOutput();
    BOOST_REQUIRE(cheated.receive(*hello).ok());
    BOOST_REQUIRE(honest.receive(*hello).ok());
    BOOST_REQUIRE(cheating.receive(*cheated.takeOutput()).ok());
    const auto outcome = honest.receive(*cheating.takeOutput());
    BOOST_REQUIRE(!outcome.ok());
    BOOST_TEST((outcome.error().code == ResultCode::Unauthorized));
}

BOOST_AUTO_TEST_CASE(proofOfAnotherConnectionProvesNothing)
{
    const NonceSource nonces = countedNonces();
    Handshake dialler = Handshake::dial(identity1, {"h2"}, nonces);
    Handshake acceptor = Handshake::accept(identity2, nonces);
    const auto hello = dialler.takeOutput();
    BOOST_REQUIRE(acceptor.receive(*hello).ok());
    const auto challenge = acceptor.takeOutput();
    BOOST_REQUIRE(dialler.receive(*challenge).ok());
    const auto proof = dialler.takeOutput();

    Handshake second = Handshake::accept(identity2, nonces);
    BOOST_REQUIRE(second.receive(*hello).ok());
    BOOST_TEST(!second.receive(*proof).ok());
    BOOST_TEST(!second.done());

    Handshake third = Handshake::dial(identity1, {"h2"}, nonces);
    BOOST_TEST(!third.receive(*challenge).ok());
}

BOOST_AUTO_TEST_CASE(ownMessagesSentBackProveNothing)
{
    const NonceSource nonces = countedNonces();
    Handshake dialler = Handshake::dial(identity1, {"h2"}, nonces);
    BOOST_TEST(!dialler.receive(*dialler.takeOutput()).ok());

    // h1 accepts what it itself answers on another connection that an intruder accepted as h2.
    Handshake dialling = Handshake::dial(identity1, {"h2"}, nonces);
    Handshake accepting = Handshake::accept(identity1, nonces);
    BOOST_TEST(!accepting.receive(*dialling.takeOutput()).ok());
}

BOOST_AUTO_TEST_CASE(anotherHostAtTheAddressIsRefused)
{
    Handshake dialler = Handshake::dial(identity1, {"h3"}, countedNonces());
    Handshake acceptor = Handshake::accept(identity2, countedNonces());
    BOOST_TEST(!run(dialler, acceptor));
}

BOOST_AUTO_TEST_CASE(brokenMessagesAreRefused)
{
    for (const std::string_view bytes : {std::string_view(""), std::string_view("\xa0"),
                                         std::string_view("garbage"), std::string_view("\xa1")}) {
        Handshake acceptor = Handshake::accept(identity2, countedNonces());
        BOOST_TEST(!acceptor.receive(bytes).ok());
        Handshake dialler = Handshake::dial(identity1, {"h2"}, countedNonces());
        BOOST_TEST(!dialler.receive(bytes).ok());
    }
    for (const char *host : {"", "a b", "a\nb"}) {
        Handshake dialler = Handshake::dial({{host}, "secret"}, {"h2"}, countedNonces());
        Handshake acceptor = Handshake::accept(identity2, countedNonces());
        BOOST_TEST(!run(dialler, acceptor));
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace persimmonlb::internal

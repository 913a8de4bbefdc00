// C++17: websocketpp 0.8.2 does not compile as C++20.
#include "persimmonlb/wire/internal/websocketendpoint.h"

#include <algorithm>
#include <list>
#include <unordered_map>
#include <utility>

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <websocketpp/client.hpp>
#include <websocketpp/concurrency/none.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/logger/stub.hpp>
#include <websocketpp/server.hpp>

namespace persimmonlb::internal
{

namespace
{

namespace asio = boost::asio;
using asio::ip::tcp;

/// An upgrade request of a peer is some 250 bytes. The library takes 16,000, and keeps each header
/// field of a connection that has proved nothing.
class UpgradeRequest : public websocketpp::http::parser::request
{
public:
    std::size_t consume(const char *bytes, std::size_t size)
    {
        constexpr std::size_t maxBytes = 2048;
        received_ += size;
        if (received_ > maxBytes) {
            throw websocketpp::http::exception(
                "upgrade request too large",
                websocketpp::http::status_code::request_header_fields_too_large);
        }
        return request::consume(bytes, size);
    }

private:
    std::size_t received_ = 0;
};

/// One thread, no log, no locks.
struct MeshConfig : public websocketpp::config::asio_client {
    using type = MeshConfig; // NOLINT: names of the library's configuration, here and below
    using base = websocketpp::config::asio_client; // NOLINT
    using concurrency_type = websocketpp::concurrency::none; // NOLINT
    using request_type = UpgradeRequest; // NOLINT
    using response_type = base::response_type; // NOLINT
    using message_type = base::message_type; // NOLINT
    using con_msg_manager_type = base::con_msg_manager_type; // NOLINT
    using endpoint_msg_manager_type = base::endpoint_msg_manager_type; // NOLINT
    using alog_type = websocketpp::log::stub; // NOLINT
    using elog_type = websocketpp::log::stub; // NOLINT
    using rng_type = base::rng_type; // NOLINT

    static const bool enable_multithreading = false; // NOLINT
    static const std::size_t connection_read_buffer_size = 65536; // NOLINT
    static const std::size_t max_message_size = initialMessageBytes; // NOLINT
    static const long timeout_open_handshake = 2000; // NOLINT
    static const bool drop_on_protocol_error = true; // NOLINT
    static const bool silent_close = true; // NOLINT

    struct transport_config : public base::transport_config { // NOLINT
        using concurrency_type = MeshConfig::concurrency_type; // NOLINT
        using alog_type = MeshConfig::alog_type; // NOLINT
        using elog_type = MeshConfig::elog_type; // NOLINT
        using request_type = MeshConfig::request_type; // NOLINT
        using response_type = MeshConfig::response_type; // NOLINT
        using socket_type = websocketpp::transport::asio::basic_socket::endpoint; // NOLINT
        static const bool enable_multithreading = false; // NOLINT
        // Some hundred round trips. A dial that began while the peer had no power hangs until this
        // is over: with 1 s, entry hosts learned of a new leader half a second after it was
        // elected.
        static const long timeout_connect = 300; // NOLINT
        static const long timeout_socket_post_init = 1000; // NOLINT
    };
    using transport_type = websocketpp::transport::asio::endpoint<transport_config>; // NOLINT
};

using Server = websocketpp::server<MeshConfig>;
using Client = websocketpp::client<MeshConfig>;
using Connection = websocketpp::connection<MeshConfig>;
using ConnectionPointer = std::shared_ptr<Connection>;
using Message = MeshConfig::message_type;
using MessagePointer = std::shared_ptr<Message>;
using Handle = websocketpp::connection_hdl;

/// A message that is sent as it is: the payload is moved in, and the masking key of a client is
/// zero, which leaves the payload unchanged. The mask guards browsers' proxies, of which the mesh
/// has none.
MessagePointer makeMessage(std::string bytes, bool fromServer,
                           const std::shared_ptr<std::atomic<std::uint64_t>> &unsent)
{
    namespace frame = websocketpp::frame;
    const std::uint64_t size = bytes.size();
    unsent->fetch_add(size);
    MessagePointer message(new Message(nullptr, frame::opcode::binary, 0),
                           [unsent, size](const Message *ended) {
                               unsent->fetch_sub(size);
                               delete ended; // NOLINT: the deleter of this pointer
                           });
    const bool masked = !fromServer;
    const frame::basic_header basic(frame::opcode::binary, size, true, masked);
    const frame::extended_header extended
        = masked ? frame::extended_header(size, 0) : frame::extended_header(size);
    message->set_header(frame::prepare_header(basic, extended));
    message->get_raw_payload() = std::move(bytes);
    message->set_prepared(true);
    return message;
}

class WebsocketppEndpoint final : public WebsocketEndpoint
{
public:
    WebsocketppEndpoint(WebsocketHooks hooks, std::size_t maxUpgrades)
        : hooks_(std::move(hooks))
        , maxUpgrades_(maxUpgrades)
    {
        server_.init_asio(&context_);
        client_.init_asio(&context_);
        server_.set_reuse_addr(true);
        server_.set_open_handler([this](const Handle &handle) { adopt(handle); });
        setHandlers(server_);
        server_.set_tcp_post_init_handler([this](const Handle &handle) {
            disableDelay(server_, handle);
            beginUpgrade(handle);
        });
        client_.set_open_handler([this](const Handle &handle) {
            const LinkId link = find(handle);
            if (link != 0) {
                hooks_.opened(link, false);
            }
        });
        setHandlers(client_);
    }

    ~WebsocketppEndpoint() override
    {
        // What is left in the loop is dropped with it, not run.
        stopped_ = true;
        for (auto &[link, entry] : links_) {
            closeSocket(*entry.connection);
        }
    }

    ListenResult listen(const std::string &ip, std::uint16_t port) override
    {
        boost::system::error_code error;
        const tcp::endpoint endpoint(asio::ip::make_address(ip, error), port);
        if (error) {
            return ListenResult::Failed;
        }
        websocketpp::lib::error_code listenError;
        server_.listen(endpoint, listenError);
        if (listenError) {
            return whyNotListening(endpoint);
        }
        server_.start_accept(listenError);
        return listenError ? ListenResult::Failed : ListenResult::Listening;
    }

    std::uint16_t port() const override
    {
        boost::system::error_code ignored;
        return const_cast<Server &>(server_).get_local_endpoint(ignored).port(); // NOLINT
    }

    void run() override
    {
        const auto work = asio::make_work_guard(context_);
        context_.run();
    }
    void stop() override
    {
        context_.stop();
    }
    void restart() override
    {
        context_.restart();
    }
    void post(std::function<void()> function) override
    {
        asio::post(context_, std::move(function));
    }
    void after(std::chrono::milliseconds delay, std::function<void()> function) override
    {
        auto timer = std::make_shared<asio::steady_timer>(context_, delay);
        timer->async_wait(
            [timer, function = std::move(function), this](const boost::system::error_code &error) {
                if (!error && !stopped_) {
                    function();
                }
            });
    }

    LinkId dial(const std::string &address) override
    {
        const LinkId link = ++lastLink_;
        websocketpp::lib::error_code error;
        const ConnectionPointer connection = client_.get_connection("ws://" + address, error);
        if (error) {
            post([this, link, reason = error.message()] { hooks_.closed(link, reason); });
            return link;
        }
        remember(link, connection, false);
        client_.connect(connection);
        return link;
    }

    void send(LinkId link, std::string bytes,
              const std::shared_ptr<std::atomic<std::uint64_t>> &unsent) override
    {
        const auto found = links_.find(link);
        if (found == links_.end()) {
            return;
        }
        const MessagePointer message
            = makeMessage(std::move(bytes), found->second.incoming, unsent);
        found->second.connection->send(message);
    }

    void ping(LinkId link) override
    {
        const auto found = links_.find(link);
        if (found != links_.end()) {
            websocketpp::lib::error_code ignored;
            found->second.connection->ping("", ignored);
        }
    }

    void limitMessage(LinkId link, std::size_t bytes) override
    {
        const auto found = links_.find(link);
        if (found != links_.end()) {
            found->second.connection->set_max_message_size(bytes);
        }
    }

    void pauseReading(LinkId link) override
    {
        const auto found = links_.find(link);
        if (found != links_.end()) {
            found->second.connection->pause_reading();
        }
    }

    void resumeReading(LinkId link) override
    {
        const auto found = links_.find(link);
        if (found != links_.end()) {
            found->second.connection->resume_reading();
        }
    }

    void close(LinkId link) override
    {
        const auto found = links_.find(link);
        if (found == links_.end()) {
            return;
        }
        const ConnectionPointer connection = found->second.connection;
        forget(found);
        closeSocket(*connection);
    }

private:
    struct Link {
        ConnectionPointer connection;
        bool incoming = false;
    };
    using Links = std::unordered_map<LinkId, Link>;

    template <typename Endpoint>
    void setHandlers(Endpoint &endpoint)
    {
        endpoint.set_tcp_post_init_handler(
            [&endpoint](const Handle &handle) { disableDelay(endpoint, handle); });
        endpoint.set_message_handler([this](const Handle &handle, const MessagePointer &message) {
            received(handle, *message);
        });
        endpoint.set_ping_handler([this](const Handle &handle, const std::string &) {
            heard(handle);
            return true;
        });
        endpoint.set_pong_handler(
            [this](const Handle &handle, const std::string &) { heard(handle); });
        endpoint.set_close_handler([this](const Handle &handle) { ended(handle); });
        endpoint.set_fail_handler([this](const Handle &handle) { ended(handle); });
    }

    template <typename Endpoint>
    static void disableDelay(Endpoint &endpoint, const Handle &handle)
    {
        websocketpp::lib::error_code error;
        const auto connection = endpoint.get_con_from_hdl(handle, error);
        if (!error) {
            boost::system::error_code ignored;
            connection->get_raw_socket().set_option(tcp::no_delay(true), ignored);
        }
    }

    /// Counts an accepted connection until its upgrade ends, and closes the oldest of too many: a
    /// peer is through within some round trips.
    void beginUpgrade(const Handle &handle)
    {
        upgrades_.push_back(handle);
        if (upgrades_.size() <= maxUpgrades_) {
            return;
        }
        websocketpp::lib::error_code error;
        const ConnectionPointer oldest = server_.get_con_from_hdl(upgrades_.front(), error);
        upgrades_.pop_front();
        if (!error) {
            closeSocket(*oldest);
        }
    }

    void endUpgrade(const Handle &handle)
    {
        const auto isSame = [&handle](const Handle &other) {
            return !handle.owner_before(other) && !other.owner_before(handle);
        };
        upgrades_.remove_if(isSame);
    }

    void adopt(const Handle &handle)
    {
        endUpgrade(handle);
        websocketpp::lib::error_code error;
        const ConnectionPointer connection = server_.get_con_from_hdl(handle, error);
        if (error || stopped_) {
            return;
        }
        const LinkId link = ++lastLink_;
        remember(link, connection, true);
        hooks_.opened(link, true);
    }

    void received(const Handle &handle, Message &message)
    {
        const LinkId link = find(handle);
        if (link == 0) {
            return;
        }
        if (message.get_opcode() != websocketpp::frame::opcode::binary) {
            end(link, "text message");
            return;
        }
        hooks_.received(link, std::move(message.get_raw_payload()));
    }

    void heard(const Handle &handle)
    {
        const LinkId link = find(handle);
        if (link != 0) {
            hooks_.heard(link);
        }
    }

    void ended(const Handle &handle)
    {
        endUpgrade(handle);
        const LinkId link = find(handle);
        if (link != 0) {
            const Connection &connection = *links_.at(link).connection;
            const auto transportError = connection.get_transport_ec();
            end(link, transportError ? transportError.message() : connection.get_ec().message());
        }
    }

    void end(LinkId link, const std::string &reason)
    {
        close(link);
        hooks_.closed(link, reason);
    }

    void remember(LinkId link, const ConnectionPointer &connection, bool incoming)
    {
        links_[link] = Link{connection, incoming};
        numbers_[connection.get()] = link;
    }

    void forget(Links::iterator link)
    {
        numbers_.erase(link->second.connection.get());
        links_.erase(link);
    }

    /// 0 for a connection that has ended here.
    LinkId find(const Handle &handle) const
    {
        const auto found = numbers_.find(static_cast<Connection *>(handle.lock().get()));
        return found == numbers_.end() || stopped_ ? 0 : found->second;
    }

    static void closeSocket(Connection &connection)
    {
        boost::system::error_code ignored;
        connection.get_raw_socket().close(ignored);
    }

    /// The library does not tell; the kernel does.
    ListenResult whyNotListening(const tcp::endpoint &endpoint)
    {
        boost::system::error_code error;
        tcp::acceptor acceptor(context_);
        acceptor.open(endpoint.protocol(), error);
        acceptor.set_option(tcp::acceptor::reuse_address(true), error);
        acceptor.bind(endpoint, error);
        if (!error) {
            acceptor.listen(1, error);
        }
        return error == asio::error::address_in_use ? ListenResult::AddressInUse
                                                    : ListenResult::Failed;
    }

    WebsocketHooks hooks_;
    asio::io_context context_;
    Server server_;
    Client client_;
    Links links_;
    std::size_t maxUpgrades_;
    std::list<Handle> upgrades_; ///< Accepted and not upgraded, oldest first.
    std::unordered_map<Connection *, LinkId> numbers_;
    LinkId lastLink_ = 0;
    bool stopped_ = false;
};

} // namespace

std::unique_ptr<WebsocketEndpoint> WebsocketEndpoint::create(WebsocketHooks hooks,
                                                             std::size_t maxUpgrades)
{
    return std::make_unique<WebsocketppEndpoint>(std::move(hooks), maxUpgrades);
}

} // namespace persimmonlb::internal

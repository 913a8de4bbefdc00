#pragma once

#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include "persimmonlb/base/error.h"
#include "persimmonlb/daemon/settings.h"

namespace persimmonlb
{

/// Secrets read from the key files.
struct NodeKeys {
    std::string mesh;
    std::string operators;
    std::string backendServers;
};

/// One persimmonlbd: the supervisor tree over the parts of its roles.
///
/// Example:
///   boost::asio::io_context context;
///   Node node(context, settings, keys);
///   BOOST_LEAF_CHECK(node.start());
///   context.run();
///   return node.exitCode();
///
/// Used on the thread that runs the context.
class Node
{
public:
    Node(boost::asio::io_context &context, Settings settings, NodeKeys keys);
    Node(const Node &) = delete;
    Node &operator=(const Node &) = delete;
    ~Node();

    /// Starts every part. Errors: AddressInUse, DataFolderUnusable, CorruptStore, SettingsInvalid.
    Result<void> start();

    /// Starts the planned stop; the context ends when it is done. Further calls have no effect.
    void stop();
    /// Ends the context at once and cuts off what runs.
    void stopNow();

    /// 0 after a planned stop, 1 after a failure.
    [[nodiscard]] int exitCode() const;

private:
    struct Parts;

    std::unique_ptr<Parts> parts_;
};

} // namespace persimmonlb

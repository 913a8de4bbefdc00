#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "persimmonlb/testing/internal/fakeoptions.h"

namespace persimmonlb
{

/// Announces a stand-in each second to two entry hosts, and finds others through the directory
/// when both fail.
class Announcer
{
public:
    Announcer(boost::asio::io_context &context, const FakeOptions &options,
              std::function<FakeStatus()> status);

    /// Runs until the io_context stops.
    boost::asio::awaitable<void> run();
    /// Sends the next announcement at once.
    void hurry();
    /// The JSON of the next announcement.
    std::string announcement();

private:
    boost::asio::awaitable<void> announceToAll();
    boost::asio::awaitable<void> askDirectory();

    boost::asio::io_context &context_;
    const FakeOptions &options_;
    std::function<FakeStatus()> status_;
    boost::asio::steady_timer timer_;
    std::vector<std::string> targets_;
    std::size_t nextDirectory_ = 0;
    std::uint64_t incarnation_ = 0;
    std::uint64_t sequence_ = 0;
};

} // namespace persimmonlb

#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "persimmonlb/base/clock.h"
#include "persimmonlb/testing/enginemodel.h"

namespace persimmonlb
{

/// Settings of one stand-in process, from its command line.
struct FakeOptions {
    std::string listen; ///< "ip:port".
    std::string server;
    std::string service;
    bool plain = false;
    std::string zone;
    std::vector<std::string> entryHosts; ///< Where it announces itself first.
    std::string backendKey;
    std::string model;
    std::string version;
    std::string role;
    EngineOptions engine;
    std::uint32_t maxQueue = 0; ///< Requests that may wait for a slot.
    std::string crashOn;
    std::string rejectOn;
    bool checksFencing = true;
    bool resumes = true;
    Milliseconds latency{0};
    Milliseconds leaveTime{0}; ///< Least time between SIGTERM and the end.
    std::string runLog; ///< File that gets one line per run of a plain call.
};

/// What changes of a stand-in while it runs, as its announcements tell it.
struct FakeStatus {
    bool leaving = false;
    std::string model;
    std::string version;
    std::string role;
    std::vector<std::string> adapters;
    EngineLoad load;

    bool operator==(const FakeStatus &) const = default;
};

} // namespace persimmonlb

#pragma once

#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "persimmonlb/http/client.h"
#include "persimmonlb/testing/classreport.h"
#include "persimmonlb/testing/experiment.h"
#include "persimmonlb/testing/internal/entrycaller.h"

namespace persimmonlb
{

/// What the tool may look at and end besides sending requests.
struct ProbeOptions {
    std::vector<std::string> engines; ///< Stand-in engines whose prefix counts are read.
    std::vector<int> daemonPids; ///< Processes whose processor time is read.
    int killPid = 0; ///< Process that a phase with lose_server_after ends; 0: none.
};

/// Runs one phase: all loads side by side, then waits for what is open.
void runPhase(boost::asio::io_context &context, HttpClient &client, EntryCaller &caller,
              const ProbeOptions &probes, const Phase &phase, std::uint64_t seed,
              PhaseReport &report);

} // namespace persimmonlb

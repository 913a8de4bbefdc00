#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "persimmonlb/base/clock.h"
#include "persimmonlb/base/error.h"
#include "persimmonlb/testing/arrivals.h"

namespace persimmonlb
{

/// A range of whole numbers from which each request draws; `least` to `most`, both included.
struct NumberRange {
    std::uint32_t least = 0;
    std::uint32_t most = 0;

    bool operator==(const NumberRange &) const = default;
};

/// Shape of chat prompts and answers.
struct ChatShape {
    NumberRange tokens{16, 16}; ///< Tokens of the answer.
    NumberRange promptBytes{200, 200}; ///< Part of the prompt that no other request shares.
    std::uint32_t prefixGroups = 1; ///< Requests of one group share their prompt's start.
    std::uint32_t prefixBytes = 0;

    bool operator==(const ChatShape &) const = default;
};

struct OnlineMix {
    std::string service;
    ArrivalRate rate;
    ChatShape shape;
    bool stream = true;
    Milliseconds deadline{30000};

    bool operator==(const OnlineMix &) const = default;
};

struct PlainMix {
    std::string service;
    ArrivalRate rate;
    double onceShare = 0; ///< Share of the calls that may run at most once.
    Milliseconds deadline{10000};

    bool operator==(const PlainMix &) const = default;
};

struct BatchMix {
    std::string service;
    std::uint32_t items = 0;
    ChatShape shape;
    Milliseconds dueIn{3600000};

    bool operator==(const BatchMix &) const = default;
};

struct Phase {
    std::string name;
    Milliseconds length{10000};
    Milliseconds warmup{2000}; ///< At the start of the phase; not measured.
    std::string against; ///< Phase that this one is compared with.
    std::string capacity; ///< Phase of batch work alone that measured the idle capacity.
    std::optional<OnlineMix> online;
    std::optional<PlainMix> plain;
    std::optional<BatchMix> batch;
    std::optional<Milliseconds> loseServerAfter; ///< Ends the process of --kill-pid.

    bool operator==(const Phase &) const = default;
};

/// An experiment file.
struct Experiment {
    std::uint64_t seed = 1;
    std::vector<Phase> phases;

    bool operator==(const Experiment &) const = default;
};

/// Parses an experiment file (docs/LOADTOOL.md). Errors: SettingsInvalid, with the line.
Result<Experiment> parseExperiment(std::string_view text);

} // namespace persimmonlb

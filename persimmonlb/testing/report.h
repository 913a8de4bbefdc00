#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "persimmonlb/testing/classreport.h"

namespace persimmonlb
{

/// Labels of a whole run.
struct RunLabels {
    std::string label;
    std::string baseline; ///< Policy that the daemons were set to; a name only.
    std::uint64_t seed = 0;
    std::size_t hosts = 0;
    bool direct = false;
};

/// Quotients of one phase and those that it names. A quotient without a divisor is 0.
struct PhaseRatios {
    double firstTokenP99 = 0; ///< Of online requests, against the phase `against`.
    double betweenTokensP99 = 0;
    double totalP99 = 0;
    double plainTotalP99 = 0;
    double batchOfIdle = 0; ///< Batch tokens a second of those that the phase `capacity` reached
                            ///< and online work left over.

    bool operator==(const PhaseRatios &) const = default;
};

/// `against` and `capacity` may be null.
PhaseRatios ratiosOf(const PhaseReport &phase, const PhaseReport *against,
                     const PhaseReport *capacity);

/// The report as JSON, phases in order, with their ratios.
std::string formatReport(const RunLabels &labels, const std::vector<const PhaseReport *> &phases);

} // namespace persimmonlb

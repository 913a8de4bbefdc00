// Prints how ways to choose servers do under the sites' loads, as a table for docs/SCHEDULERS.md.
#include <cstdio>
#include <exception>
#include <iostream>
#include <string>
#include <vector>

#include <tclap/CmdLine.h>

#include "persimmonlb/testing/trial/trial.h"

namespace
{

using namespace persimmonlb;
using namespace persimmonlb::trial;

struct Variant {
    std::string name;
    std::function<Scheduler(SchedulerWorld)> make;
};

std::function<Scheduler(SchedulerWorld)> view(ViewOptions options)
{
    return [options](SchedulerWorld world) {
        return makeViewScheduler(std::move(world), options);
    };
}

std::vector<Variant> variants()
{
    using Choice = ViewOptions::Choice;
    const ViewOptions reports;
    ViewOptions digests;
    digests.interval = Milliseconds(100);
    digests.lag = Milliseconds(10);
    digests.peers = true;
    ViewOptions noYield = digests;
    noYield.yields = false;
    ViewOptions roundRobin;
    roundRobin.choice = Choice::RoundRobin;
    roundRobin.yields = false;
    roundRobin.refuses = false;
    ViewOptions leastInFlight = roundRobin;
    leastInFlight.choice = Choice::OwnLeastInFlight;
    return {{"slot broker", makeBrokerScheduler},
            {"slot broker, learned", makeLearningBrokerScheduler},
            {"reports, 300 ms", view(reports)},
            {"digests, 100 ms", view(digests)},
            {"digests, no yielding", view(noYield)},
            {"least in flight", view(leastInFlight)},
            {"round robin", view(roundRobin)}};
}

std::vector<TrialLoad> loads()
{
    TrialLoad bulag;
    bulag.name = "bulag-ub";
    TrialLoad ileoja;
    ileoja.name = "ileoja-book";
    ileoja.onlineEvents = 36;
    ileoja.itemEvents = 247;
    std::vector<TrialLoad> all;
    for (const TrialLoad &site : {bulag, ileoja}) {
        TrialLoad jump = site;
        jump.name += ", jump";
        jump.onlineJump = 1.5;
        jump.batchJump = 6;
        TrialLoad loss = site;
        loss.name += ", fifth lost";
        loss.serversLost = 2;
        TrialLoad both = jump;
        both.name = site.name + ", both";
        both.serversLost = 2;
        all.insert(all.end(), {site, jump, loss, both});
    }
    return all;
}

/// Deployment U, with nine of its sixty engines where nothing else is said.
std::vector<TrialLoad> unevenLoads()
{
    TrialLoad quiet;
    quiet.name = "uneven";
    quiet.unevenEngines = true;
    quiet.onlinePerSecond = 54.3;
    quiet.onlineEvents = 25;
    quiet.jobsPerSecond = 0.0514;
    TrialLoad busy = quiet;
    busy.name += ", 1.6 times the requests";
    busy.onlinePerSecond *= 1.6;
    TrialLoad batch = quiet;
    batch.name += ", 6 times the batch";
    batch.jobsPerSecond *= 6;
    TrialLoad slow = quiet;
    slow.name += ", two engines slow";
    slow.serversSlow = 2;
    TrialLoad frozen = slow;
    frozen.name = quiet.name + ", two engines almost frozen";
    frozen.slowFactor = 50;
    TrialLoad loss = quiet;
    loss.name += ", two engines lost";
    loss.serversLost = 2;
    TrialLoad prompts = quiet;
    prompts.name += ", long shared parts";
    prompts.longParts = 8;
    TrialLoad manyPrompts = prompts;
    manyPrompts.name += ", 1.6 times the requests";
    manyPrompts.onlinePerSecond *= 1.6;
    TrialLoad whole = quiet;
    whole.name += ", all sixty engines";
    whole.servers = 60;
    whole.onlinePerSecond = 362;
    whole.jobsPerSecond = 0.343;
    return {quiet, busy, batch, slow, frozen, loss, prompts, manyPrompts, whole};
}

double share(double part, double whole)
{
    return whole > 0 ? part / whole : 0;
}

void add(TrialReport &sum, const TrialReport &one)
{
    sum.asked += one.asked;
    sum.onTime += one.onTime;
    sum.onTimeAfterRefusal += one.onTimeAfterRefusal;
    sum.served += one.served;
    sum.pauses += one.pauses;
    sum.refusals += one.refusals;
    sum.refusalsEarly += one.refusalsEarly;
    sum.cameBack += one.cameBack;
    sum.cameBackServed += one.cameBackServed;
    sum.items += one.items;
    sum.itemsOnTime += one.itemsOnTime;
    sum.idleSlotSeconds += one.idleSlotSeconds;
    sum.batchSlotSeconds += one.batchSlotSeconds;
    sum.promptTokens += one.promptTokens;
    sum.cachedTokens += one.cachedTokens;
    sum.late += one.late;
    sum.otherZone += one.otherZone;
    sum.newPromptTokens += one.newPromptTokens;
    sum.completionP50Ms += one.completionP50Ms;
    sum.completionP99Ms += one.completionP99Ms;
    sum.firstEventP50Ms += one.firstEventP50Ms;
    sum.firstEventP99Ms += one.firstEventP99Ms;
    sum.cost.messages += one.cost.messages;
    sum.cost.batchEvents += one.cost.batchEvents;
    sum.cost.batchEventsAgain += one.cost.batchEventsAgain;
    sum.cost.deciding += one.cost.deciding;
}

TrialReport playSeeds(const TrialLoad &load, int seeds, const Variant &variant)
{
    TrialReport sum;
    for (int seed = 1; seed <= seeds; ++seed) {
        add(sum, playTrial(load, static_cast<std::uint64_t>(seed), variant.make));
    }
    return sum;
}

void printRow(const std::string &name, const TrialReport &sum, const TrialReport &alone, int seeds)
{
    const auto asked = static_cast<double>(sum.asked);
    std::printf(
        "| %s | %.3f | %.3f | %.3f | %.4f | %.0f | %.0f | %.2f | %.3f | %.2f | %.2f | %.2f | "
        "%.2f | %.1f | %.1f |\n",
        name.c_str(), share(static_cast<double>(sum.onTime), asked),
        share(static_cast<double>(sum.onTimeAfterRefusal), asked),
        1 - share(static_cast<double>(sum.served), asked),
        share(static_cast<double>(sum.pauses), asked), sum.firstEventP50Ms / seeds,
        sum.firstEventP99Ms / seeds, share(sum.firstEventP99Ms, alone.firstEventP99Ms),
        share(static_cast<double>(sum.itemsOnTime), static_cast<double>(sum.items)),
        share(sum.batchSlotSeconds, sum.idleSlotSeconds),
        share(static_cast<double>(sum.refusalsEarly), static_cast<double>(sum.refusals)),
        share(static_cast<double>(sum.cameBackServed), static_cast<double>(sum.cameBack)),
        share(static_cast<double>(sum.cachedTokens), static_cast<double>(sum.promptTokens)),
        share(static_cast<double>(sum.cost.messages), asked),
        share(static_cast<double>(sum.cost.deciding.count()) / 1000, asked));
}

/// The two choices of the slot broker under uneven engines.
void printUneven(int seeds, const std::string &only)
{
    for (const TrialLoad &load : unevenLoads()) {
        std::printf(
            "\n%s\n\n| way | first event p50 ms | p99 ms | last event p50 ms | p99 ms | late | "
            "refused | not served | long pauses | items on time | idle slots used | "
            "prompt kept | read again | other zone | us |\n"
            "|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|\n",
            load.name.c_str());
        for (const Variant &variant : variants()) {
            if (!variant.name.starts_with("slot broker")
                || (!only.empty() && variant.name != only)) {
                continue;
            }
            const TrialReport sum = playSeeds(load, seeds, variant);
            const auto asked = static_cast<double>(sum.asked);
            const std::uint64_t read = sum.promptTokens - sum.cachedTokens;
            std::printf(
                "| %s | %.1f | %.1f | %.1f | %.1f | %.4f | %.4f | %.4f | %.4f | %.3f | %.2f | %.3f "
                "| %.3f | %.2f | %.1f |\n",
                variant.name.c_str(), sum.firstEventP50Ms / seeds, sum.firstEventP99Ms / seeds,
                sum.completionP50Ms / seeds, sum.completionP99Ms / seeds,
                share(static_cast<double>(sum.late), asked),
                share(static_cast<double>(sum.refusals), asked),
                1 - share(static_cast<double>(sum.served), asked),
                share(static_cast<double>(sum.pauses), asked),
                share(static_cast<double>(sum.itemsOnTime), static_cast<double>(sum.items)),
                share(sum.batchSlotSeconds, sum.idleSlotSeconds),
                share(static_cast<double>(sum.cachedTokens), static_cast<double>(sum.promptTokens)),
                share(static_cast<double>(read) - static_cast<double>(sum.newPromptTokens),
                      static_cast<double>(sum.promptTokens)),
                share(static_cast<double>(sum.otherZone), asked),
                share(static_cast<double>(sum.cost.deciding.count()) / 1000, asked));
        }
    }
}

} // namespace

int main(int argc, char **argv)
{
    try {
        TCLAP::CmdLine arguments("Compares ways to choose servers in virtual time.");
        TCLAP::ValueArg<int> seeds("", "seeds", "Seeds of each load.", false, 3, "number",
                                   arguments);
        TCLAP::ValueArg<std::string> only("", "only", "Plays this variant alone.", false, "",
                                          "name", arguments);
        TCLAP::SwitchArg uneven("", "uneven", "Plays engines of uneven speed.", arguments);
        arguments.parse(argc, argv);
        if (uneven.getValue()) {
            printUneven(seeds.getValue(), only.getValue());
            return 0;
        }
        for (const TrialLoad &load : loads()) {
            std::printf(
                "\n%s\n\n| way | on time | on time when back | not served | long pauses | first "
                "event p50 ms | p99 ms | p99 against no batch | items on time | idle slots "
                "used | refused early | back and served | prompt kept | messages a request | "
                "us a request |\n|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|\n",
                load.name.c_str());
            TrialLoad noBatch = load;
            noBatch.jobsPerSecond = 0;
            for (const Variant &variant : variants()) {
                if (!only.getValue().empty() && variant.name != only.getValue()) {
                    continue;
                }
                printRow(variant.name, playSeeds(load, seeds.getValue(), variant),
                         playSeeds(noBatch, seeds.getValue(), variant), seeds.getValue());
            }
        }
        return 0;
    } catch (const std::exception &error) {
        std::cerr << "slottrial: " << error.what() << '\n';
        return 1;
    }
}

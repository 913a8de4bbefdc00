#include "persimmonlb/testing/experiment.h"

#include <cmath>
#include <set>
#include <stdexcept>

#include "persimmonlb/base/toml.h"

namespace persimmonlb
{

namespace
{

std::string atLine(const toml::source_region &source, std::string_view message)
{
    return "line " + std::to_string(source.begin.line) + ": " + std::string(message);
}

[[noreturn]] void refuse(const toml::node &node, const std::string &message)
{
    throw std::invalid_argument(atLine(node.source(), message));
}

/// Reads the keys of one table; a key that nobody asked for is an error.
class TableReader
{
public:
    explicit TableReader(const toml::table &table)
        : table_(table)
    {
    }

    template <typename Value>
    void read(std::string_view key, Value &value)
    {
        known_.insert(std::string(key));
        const toml::node *node = table_.get(key);
        if (node == nullptr) {
            return;
        }
        const auto read = node->value<Value>();
        if (!read) {
            refuse(*node, std::string(key) + " has the wrong type");
        }
        value = *read;
    }

    void readSeconds(std::string_view key, Milliseconds &value)
    {
        constexpr double millisPerSecond = 1000;
        double seconds = static_cast<double>(value.count()) / millisPerSecond;
        read(key, seconds);
        value = Milliseconds(std::llround(seconds * millisPerSecond));
    }

    /// A number, or `[least, most]`.
    void readRange(std::string_view key, NumberRange &value)
    {
        const toml::node *node = table_.get(key);
        if (node == nullptr || !node->is_array()) {
            read(key, value.least);
            value.most = node == nullptr ? value.most : value.least;
            return;
        }
        known_.insert(std::string(key));
        const toml::array &both = *node->as_array();
        const auto least = both.size() == 2 ? both[0].value<std::uint32_t>() : std::nullopt;
        const auto most = both.size() == 2 ? both[1].value<std::uint32_t>() : std::nullopt;
        if (!least || !most || *least > *most) {
            refuse(*node, std::string(key) + " must be a number or [least, most]");
        }
        value = NumberRange{*least, *most};
    }

    const toml::table *table(std::string_view key)
    {
        known_.insert(std::string(key));
        const toml::node *node = table_.get(key);
        return node == nullptr ? nullptr : node->as_table();
    }

    void refuseOthers() const
    {
        for (const auto &[key, node] : table_) {
            if (!known_.contains(std::string(key.str()))) {
                refuse(node, "unknown key " + std::string(key.str()));
            }
        }
    }

private:
    const toml::table &table_;
    std::set<std::string> known_;
};

void readRate(TableReader &reader, ArrivalRate &rate)
{
    Milliseconds every{0};
    Milliseconds length{0};
    reader.read("rate", rate.perSecond);
    reader.readSeconds("burst_every", every);
    reader.readSeconds("burst_length", length);
    reader.read("burst_factor", rate.burstFactor);
    rate.burstEvery = every;
    rate.burstLength = length;
}

void readShape(TableReader &reader, ChatShape &shape)
{
    reader.readRange("tokens", shape.tokens);
    reader.readRange("prompt_bytes", shape.promptBytes);
    reader.read("prefix_groups", shape.prefixGroups);
    reader.read("prefix_bytes", shape.prefixBytes);
}

OnlineMix readOnline(const toml::table &table)
{
    OnlineMix mix;
    TableReader reader(table);
    reader.read("service", mix.service);
    readRate(reader, mix.rate);
    readShape(reader, mix.shape);
    reader.read("stream", mix.stream);
    reader.readSeconds("deadline", mix.deadline);
    reader.refuseOthers();
    return mix;
}

PlainMix readPlain(const toml::table &table)
{
    PlainMix mix;
    TableReader reader(table);
    reader.read("service", mix.service);
    readRate(reader, mix.rate);
    reader.read("once_share", mix.onceShare);
    reader.readSeconds("deadline", mix.deadline);
    reader.refuseOthers();
    return mix;
}

BatchMix readBatch(const toml::table &table)
{
    BatchMix mix;
    TableReader reader(table);
    reader.read("service", mix.service);
    reader.read("items", mix.items);
    readShape(reader, mix.shape);
    reader.readSeconds("due_in", mix.dueIn);
    reader.refuseOthers();
    return mix;
}

Phase readPhase(const toml::table &table)
{
    Phase phase;
    TableReader reader(table);
    reader.read("name", phase.name);
    reader.readSeconds("length", phase.length);
    reader.readSeconds("warmup", phase.warmup);
    reader.read("against", phase.against);
    reader.read("capacity", phase.capacity);
    if (const toml::table *online = reader.table("online")) {
        phase.online = readOnline(*online);
    }
    if (const toml::table *plain = reader.table("plain")) {
        phase.plain = readPlain(*plain);
    }
    if (const toml::table *batch = reader.table("batch")) {
        phase.batch = readBatch(*batch);
    }
    if (table.contains("lose_server_after")) {
        phase.loseServerAfter = Milliseconds(0);
        reader.readSeconds("lose_server_after", *phase.loseServerAfter);
    }
    reader.refuseOthers();
    if (phase.name.empty() || phase.warmup >= phase.length) {
        refuse(table, "a phase needs a name and a warmup shorter than its length");
    }
    return phase;
}

Experiment readExperiment(const toml::table &table)
{
    Experiment experiment;
    TableReader reader(table);
    reader.read("seed", experiment.seed);
    if (!table.contains("phase") || !table["phase"].is_array_of_tables()) {
        refuse(table, "no [[phase]]");
    }
    reader.table("phase");
    reader.refuseOthers();
    for (const toml::node &phase : *table["phase"].as_array()) {
        experiment.phases.push_back(readPhase(*phase.as_table()));
    }
    return experiment;
}

} // namespace

Result<Experiment> parseExperiment(std::string_view text)
{
    try {
        const toml::parse_result parsed = toml::parse(text);
        if (!parsed) {
            const toml::parse_error &error = parsed.error();
            return fail(ResultCode::SettingsInvalid, atLine(error.source(), error.description()));
        }
        return readExperiment(parsed.table());
    } catch (const std::logic_error &error) {
        return fail(ResultCode::SettingsInvalid, error.what());
    }
}

} // namespace persimmonlb

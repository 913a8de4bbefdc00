#include "persimmonlb/agreement/configuration.h"

#include <nlohmann/json.hpp>

namespace persimmonlb
{

namespace
{

bool beforeHost(const Member &member, const HostId &host)
{
    return member.host < host;
}

} // namespace

const Member *Configuration::find(const HostId &host) const
{
    const auto found = std::ranges::find(members, host, &Member::host);
    return found == members.end() ? nullptr : &*found;
}

bool Configuration::isVoter(const HostId &host) const
{
    const Member *member = find(host);
    return member != nullptr && member->voter;
}

std::size_t Configuration::voterCount() const
{
    return static_cast<std::size_t>(std::ranges::count(members, true, &Member::voter));
}

std::size_t Configuration::quorum() const
{
    return voterCount() / 2 + 1;
}

Configuration Configuration::with(Member member) const
{
    Configuration changed = without(member.host);
    const auto position
        = std::lower_bound(changed.members.begin(), changed.members.end(), member.host, beforeHost);
    changed.members.insert(position, std::move(member));
    return changed;
}

Configuration Configuration::without(const HostId &host) const
{
    Configuration changed = *this;
    std::erase_if(changed.members, [&](const Member &member) { return member.host == host; });
    return changed;
}

std::string encodeConfiguration(const Configuration &configuration)
{
    nlohmann::json members = nlohmann::json::array();
    for (const Member &member : configuration.members) {
        members.push_back(
            {{"host", member.host.value}, {"disk", member.disk}, {"voter", member.voter}});
    }
    nlohmann::json document = {{"members", std::move(members)}};
    if (configuration.replacement) {
        document["replacement"] = {{"lost", configuration.replacement->lost.value},
                                   {"fresh", configuration.replacement->fresh.value}};
    }
    const std::vector<std::uint8_t> bytes = nlohmann::json::to_cbor(document);
    return {bytes.begin(), bytes.end()};
}

Result<Configuration> decodeConfiguration(std::string_view bytes)
{
    try {
        const nlohmann::json document = nlohmann::json::from_cbor(bytes);
        Configuration configuration;
        for (const nlohmann::json &member : document.at("members")) {
            configuration.members.push_back({.host = {member.at("host").get<std::string>()},
                                             .disk = member.at("disk").get<std::uint64_t>(),
                                             .voter = member.at("voter").get<bool>()});
        }
        if (document.contains("replacement")) {
            const nlohmann::json &replacement = document.at("replacement");
            configuration.replacement
                = Replacement{.lost = {replacement.at("lost").get<std::string>()},
                              .fresh = {replacement.at("fresh").get<std::string>()}};
        }
        return configuration;
    } catch (const nlohmann::json::exception &error) {
        return fail(ResultCode::CorruptStore, std::string("member list: ") + error.what());
    }
}

} // namespace persimmonlb

#include "persimmonlb/store/internal/records.h"

#include <nlohmann/json.hpp>

#include "persimmonlb/store/internal/crc32c.h"

namespace persimmonlb::internal
{

namespace
{

constexpr std::size_t checksumBytes = 4;
constexpr std::size_t numberBytes = 8;
constexpr std::size_t entryHeaderBytes = numberBytes + 1;
constexpr unsigned byteBits = 8;
constexpr std::uint64_t byteMask = 0xff;

std::string checksumOf(std::string_view key, std::string_view content)
{
    const std::uint32_t crc = crc32c(content, crc32c(key));
    return encodeNumber(crc).substr(numberBytes - checksumBytes);
}

std::string printable(std::string_view key)
{
    if (key.size() == numberBytes) {
        return "log entry " + std::to_string(decodeNumber(key));
    }
    return "record " + std::string(key);
}

std::string toCbor(const nlohmann::json &document)
{
    const std::vector<std::uint8_t> bytes = nlohmann::json::to_cbor(document);
    return {bytes.begin(), bytes.end()};
}

/// Parses CBOR and turns what the library throws into an error.
template <typename Parse>
auto fromCbor(std::string_view name, std::string_view content, const Parse &parse)
    -> Result<decltype(parse(nlohmann::json()))>
{
    try {
        return parse(nlohmann::json::from_cbor(content));
    } catch (const nlohmann::json::exception &error) {
        return fail(ResultCode::CorruptStore, std::string(name) + ": " + error.what());
    }
}

} // namespace

std::string encodeNumber(std::uint64_t number)
{
    std::string bytes(numberBytes, '\0');
    for (std::size_t position = numberBytes; position > 0; --position) {
        bytes[position - 1] = static_cast<char>(number & byteMask);
        number >>= byteBits;
    }
    return bytes;
}

std::uint64_t decodeNumber(std::string_view bytes, std::size_t offset)
{
    std::uint64_t number = 0;
    for (std::size_t position = offset; position < offset + numberBytes; ++position) {
        number = (number << byteBits) | static_cast<unsigned char>(bytes[position]);
    }
    return number;
}

std::string seal(std::string_view key, std::string_view content)
{
    std::string record = checksumOf(key, content);
    record.append(content);
    return record;
}

Result<std::string_view> unseal(std::string_view key, std::string_view record)
{
    if (record.size() < checksumBytes) {
        return fail(ResultCode::CorruptStore, printable(key) + " is cut off");
    }
    const std::string_view content = record.substr(checksumBytes);
    if (checksumOf(key, content) != record.substr(0, checksumBytes)) {
        return fail(ResultCode::CorruptStore, printable(key) + " fails its checksum");
    }
    return content;
}

std::string entryKey(std::uint64_t index)
{
    return encodeNumber(index);
}

std::string encodeEntry(const LogEntry &entry)
{
    std::string content = encodeNumber(entry.term);
    content.push_back(static_cast<char>(entry.kind));
    content.append(entry.data);
    return seal(entryKey(entry.index), content);
}

Result<LogEntry> decodeEntry(std::string_view key, std::string_view record)
{
    if (key.size() != numberBytes) {
        return fail(ResultCode::CorruptStore, "a log key has a wrong length");
    }
    BOOST_LEAF_AUTO(content, unseal(key, record));
    if (content.size() < entryHeaderBytes
        || static_cast<std::uint8_t>(content[numberBytes])
            > static_cast<std::uint8_t>(EntryKind::NoOperation)) {
        return fail(ResultCode::CorruptStore, printable(key) + " has no valid header");
    }
    return LogEntry{.index = decodeNumber(key),
                    .term = decodeNumber(content),
                    .kind = static_cast<EntryKind>(content[numberBytes]),
                    .data = std::string(content.substr(entryHeaderBytes))};
}

std::string encodeHardState(const HardState &hardState)
{
    return toCbor({{"term", hardState.term}, {"vote", hardState.vote.value}});
}

Result<HardState> decodeHardState(std::string_view content)
{
    return fromCbor("hard state", content, [](const nlohmann::json &document) {
        return HardState{.term = document.at("term").get<std::uint64_t>(),
                         .vote = {document.at("vote").get<std::string>()}};
    });
}

std::string encodeMark(const SnapshotMark &mark)
{
    return toCbor(
        {{"index", mark.index},
         {"term", mark.term},
         {"configuration",
          nlohmann::json::binary({mark.configuration.begin(), mark.configuration.end()})}});
}

Result<SnapshotMark> decodeMark(std::string_view content)
{
    return fromCbor("compaction mark", content, [](const nlohmann::json &document) {
        const auto &configuration = document.at("configuration").get_binary();
        return SnapshotMark{.index = document.at("index").get<std::uint64_t>(),
                            .term = document.at("term").get<std::uint64_t>(),
                            .configuration = {configuration.begin(), configuration.end()}};
    });
}

std::string encodeIdentity(const Identity &identity)
{
    return toCbor(
        {{"host", identity.host.value}, {"disk", identity.disk}, {"format", identity.format}});
}

Result<Identity> decodeIdentity(std::string_view content)
{
    return fromCbor("identity", content, [](const nlohmann::json &document) {
        return Identity{.host = {document.at("host").get<std::string>()},
                        .disk = document.at("disk").get<std::uint64_t>(),
                        .format = document.at("format").get<std::uint32_t>()};
    });
}

} // namespace persimmonlb::internal

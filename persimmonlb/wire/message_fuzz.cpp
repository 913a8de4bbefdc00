// libFuzzer target over what peers send. The first byte chooses a kind of message; each further
// three bytes put one byte somewhere into its encoding. With the first byte 255 the rest is decoded
// as it is.
#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>
#include <variant>

#include "persimmonlb/state/command.h"
#include "persimmonlb/wire/message.h"

namespace
{

using namespace persimmonlb;

constexpr std::uint8_t rawInput = 255;
constexpr std::size_t patchSize = 3;

template <std::size_t... kinds>
std::array<std::string, sizeof...(kinds)> encodeEach(std::index_sequence<kinds...>)
{
    return {encodeMessage(PeerMessage{defaultGroup, std::variant_alternative_t<kinds, PeerBody>(),
                                      HostId{"a"}, HostId{"b"}})...};
}

void decodeAll(const std::string &bytes)
{
    const Outcome<PeerMessage> message = decodeMessage(bytes);
    if (message.ok()) {
        // What was read must be written and read again.
        if (!decodeMessage(encodeMessage(message.value())).ok()) {
            __builtin_trap();
        }
    }
    (void)decodeCommand(bytes).ok();
}

} // namespace

// NOLINTNEXTLINE(readability-identifier-naming): libFuzzer's name
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    static const auto samples
        = encodeEach(std::make_index_sequence<std::variant_size_v<PeerBody>>());
    if (size == 0) {
        return 0;
    }
    if (data[0] == rawInput) {
        decodeAll(std::string(reinterpret_cast<const char *>(data) + 1, size - 1));
        return 0;
    }
    std::string bytes = samples.at(data[0] % samples.size());
    for (std::size_t at = 1; at + patchSize <= size; at += patchSize) {
        const std::size_t position = data[at] * 256U + data[at + 1];
        bytes.at(position % bytes.size()) = static_cast<char>(data[at + 2]);
    }
    decodeAll(bytes);
    return 0;
}

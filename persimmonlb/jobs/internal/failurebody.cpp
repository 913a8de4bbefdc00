#include "persimmonlb/jobs/internal/failurebody.h"

#include <nlohmann/json.hpp>

namespace persimmonlb::internal
{

std::string failureBody(ResultCode code, std::uint32_t attempts, std::uint16_t lastStatus)
{
    const ResultCodeInfo &info = describe(code);
    std::string message(info.meaning);
    if (lastStatus != 0) {
        message += " The last attempt was answered with status " + std::to_string(lastStatus) + ".";
    }
    const nlohmann::ordered_json body{{"error",
                                       {{"code", static_cast<std::uint16_t>(code)},
                                        {"name", std::string(info.name)},
                                        {"message", message},
                                        {"run", std::string(toString(info.run))},
                                        {"attempts", attempts}}}};
    return body.dump();
}

} // namespace persimmonlb::internal

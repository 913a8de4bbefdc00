#include "persimmonlb/membership/server.h"

#include <cmath>
#include <limits>
#include <optional>
#include <utility>

#include <nlohmann/json.hpp>

#include "persimmonlb/base/boundedjson.h"

namespace persimmonlb
{

namespace
{

using Json = nlohmann::json;

/// Reads the fields of one JSON object and keeps the first fault.
class FieldReader
{
public:
    explicit FieldReader(const Json &object)
        : object_(object)
    {
    }

    std::string text(const char *key, bool required)
    {
        const Json *value = find(key, required);
        if (value == nullptr) {
            return {};
        }
        if (!value->is_string()) {
            note(key, "is not a string");
            return {};
        }
        auto result = value->get<std::string>();
        if (required && result.empty()) {
            note(key, "is empty");
        }
        return result;
    }

    std::uint64_t number(const char *key, bool required,
                         std::uint64_t most = std::numeric_limits<std::uint64_t>::max())
    {
        const Json *value = find(key, required);
        if (value == nullptr) {
            return 0;
        }
        if (!value->is_number_unsigned() || value->get<std::uint64_t>() > most) {
            note(key, "is not an unsigned integer in range");
            return 0;
        }
        return value->get<std::uint64_t>();
    }

    std::uint32_t smallNumber(const char *key)
    {
        return static_cast<std::uint32_t>(
            number(key, false, std::numeric_limits<std::uint32_t>::max()));
    }

    double share(const char *key, double fallback)
    {
        const Json *value = find(key, false);
        if (value == nullptr) {
            return fallback;
        }
        if (!value->is_number() || !(value->get<double>() >= 0 && value->get<double>() <= 1)) {
            note(key, "is not a number from 0 to 1");
            return fallback;
        }
        return value->get<double>();
    }

    bool flag(const char *key)
    {
        const Json *value = find(key, false);
        if (value == nullptr) {
            return false;
        }
        if (!value->is_boolean()) {
            note(key, "is not a boolean");
            return false;
        }
        return value->get<bool>();
    }

    std::vector<std::string> textList(const char *key)
    {
        std::vector<std::string> result;
        const Json *value = find(key, false);
        if (value == nullptr) {
            return result;
        }
        if (!value->is_array()) {
            note(key, "is not a list");
            return result;
        }
        for (const Json &item : *value) {
            if (!item.is_string()) {
                note(key, "holds something that is not a string");
                return result;
            }
            result.push_back(item.get<std::string>());
        }
        return result;
    }

    /// Index of the field's value in `names`.
    std::size_t choice(const char *key, std::initializer_list<const char *> names)
    {
        const std::string value = text(key, true);
        std::size_t index = 0;
        for (const char *name : names) {
            if (value == name) {
                return index;
            }
            ++index;
        }
        note(key, "has an unknown value");
        return 0;
    }

    const Json &object(const char *key)
    {
        static const Json empty = Json::object();
        const Json *value = find(key, false);
        if (value == nullptr) {
            return empty;
        }
        if (!value->is_object()) {
            note(key, "is not an object");
            return empty;
        }
        return *value;
    }

    [[nodiscard]] const std::optional<std::string> &fault() const
    {
        return fault_;
    }

private:
    const Json *find(const char *key, bool required)
    {
        const auto position = object_.find(key);
        if (position == object_.end() || position->is_null()) {
            if (required) {
                note(key, "is missing");
            }
            return nullptr;
        }
        return &*position;
    }

    void note(const char *key, const char *what)
    {
        if (!fault_) {
            fault_ = std::string(key) + " " + what;
        }
    }

    const Json &object_;
    std::optional<std::string> fault_;
};

} // namespace

Result<ServerAnnouncement> parseAnnouncement(std::string_view json)
{
    const Json document = parseBoundedJson(json);
    if (!document.is_object()) {
        return fail(ResultCode::MalformedRequest, "announcement is not a JSON object");
    }
    FieldReader reader(document);
    ServerAnnouncement result;
    result.server = ServerId{reader.text("server", true)};
    result.address = reader.text("address", true);
    result.availabilityZone = AvailabilityZone{reader.text("availability_zone", false)};
    result.service = ServiceName{reader.text("service", true)};
    result.kind
        = reader.choice("kind", {"engine", "plain"}) == 0 ? ServerKind::Engine : ServerKind::Plain;
    result.state = reader.choice("state", {"ready", "leaving"}) == 0 ? ServerState::Ready
                                                                     : ServerState::Leaving;
    result.model = ModelName{reader.text("model", false)};
    result.version = reader.text("version", false);
    result.adapters = reader.textList("adapters");
    result.role = reader.text("role", false);
    result.checksFencing = reader.flag("checks_fencing");
    result.slots = reader.smallNumber("slots");
    result.incarnation = reader.number("incarnation", true);
    result.sequence = reader.number("sequence", true);
    FieldReader load(reader.object("load"));
    result.load.running = load.smallNumber("running");
    result.load.queued = load.smallNumber("queued");
    result.load.kvFree = load.share("kv_free", 1.0);
    if (reader.fault()) {
        return fail(ResultCode::MalformedRequest, *reader.fault());
    }
    if (load.fault()) {
        return fail(ResultCode::MalformedRequest, "load." + *load.fault());
    }
    return result;
}

std::string formatAnnouncement(const ServerAnnouncement &announcement)
{
    const Json document = {
        {"server", announcement.server.value},
        {"address", announcement.address},
        {"availability_zone", announcement.availabilityZone.value},
        {"service", announcement.service.value},
        {"kind", announcement.kind == ServerKind::Engine ? "engine" : "plain"},
        {"state", announcement.state == ServerState::Ready ? "ready" : "leaving"},
        {"model", announcement.model.value},
        {"version", announcement.version},
        {"adapters", announcement.adapters},
        {"role", announcement.role},
        {"checks_fencing", announcement.checksFencing},
        {"slots", announcement.slots},
        {"load",
         {{"running", announcement.load.running},
          {"queued", announcement.load.queued},
          {"kv_free", announcement.load.kvFree}}},
        {"incarnation", announcement.incarnation},
        {"sequence", announcement.sequence},
    };
    return document.dump(-1, ' ', false, Json::error_handler_t::replace);
}

} // namespace persimmonlb

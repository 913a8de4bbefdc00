#include <ostream>

#include <nlohmann/json.hpp>

#include "persimmonlb/ctl/commands.h"
#include "persimmonlb/ctl/internal/jsontext.h"
#include "persimmonlb/ctl/moment.h"
#include "persimmonlb/ctl/table.h"

namespace persimmonlb
{

using Json = nlohmann::json;

namespace
{

constexpr std::size_t pageSize = 1000;

void addRecords(Table &table, const Json &records)
{
    for (const Json &record : records) {
        table.addRow({textOf(record, "sequence"), formatMoment(numberOf(record, "at_ms")),
                      textOf(record, "kind"), textOf(record, "who"), textOf(record, "subject"),
                      textOf(record, "code"), textOf(record, "count"), textOf(record, "detail")});
    }
}

} // namespace

ExitCode auditList(const Session &session)
{
    const CtlOptions &options = session.options();
    const auto since = parseMoment(options.since.empty() ? "0" : options.since, session.now());
    if (!since) {
        return session.usage("--since needs a time");
    }
    const std::string filter = "since_ms=" + std::to_string(since->time_since_epoch().count())
        + "&kind=" + urlEncode(options.kind) + "&limit=" + std::to_string(pageSize);
    Table table({"SEQ", "TIME (UTC)", "KIND", "WHO", "SUBJECT", "CODE", "COUNT", "DETAIL"});
    std::int64_t after = 0;
    std::size_t received = pageSize;
    while (received == pageSize) {
        const ApiAnswer answer = session.call(session.request(
            "GET", "/v1/admin/audit?" + filter + "&after=" + std::to_string(after)));
        if (!answer.ok()) {
            return session.reportFailure(answer, "");
        }
        const Json page = parseObject(answer.body);
        const Json &records = arrayOf(page, "records");
        received = records.size();
        after = records.empty() ? after : numberOf(records.back(), "sequence");
        if (options.json) {
            session.out() << answer.body << '\n';
            continue;
        }
        addRecords(table, records);
    }
    if (!options.json) {
        session.out() << table.format(terminalColumns);
    }
    return ExitCode::Ok;
}

} // namespace persimmonlb

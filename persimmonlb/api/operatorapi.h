#pragma once

#include <functional>
#include <string>

#include "persimmonlb/api/apideps.h"
#include "persimmonlb/api/batchapi.h"
#include "persimmonlb/http/target.h"

namespace persimmonlb
{

/// What the operators' interface needs beside ApiDeps. Texts are JSON.
struct OperatorDeps {
    std::string operatorKey;
    std::function<std::string()> serversJson;
    std::function<std::string()> groupJson;
    /// Errors: GroupAlreadyInitialised, NotFound (this host is no control host).
    std::function<Outcome<Done>(const std::vector<HostId> &members)> initGroup;
    /// Starts to replace a member; `done` once it was taken or refused.
    std::function<void(const HostId &lost, const HostId &fresh,
                       std::function<void(Outcome<Done>)> done)>
        replaceMember;
};

/// Operators' interface: /v1/admin (INTERFACE.md). Every request must carry the operators' key.
/// Not thread-safe; must outlive the requests it took.
class OperatorApi
{
public:
    OperatorApi(ApiDeps deps, OperatorDeps operatorDeps, BatchApi &batches);

    /// Takes a request whose path starts with /v1/admin.
    void handle(const HttpRequest &request, const HttpTarget &target,
                const ResponderPtr &responder);

private:
    void applySheet(const HttpRequest &request, const std::string &by,
                    const ResponderPtr &responder);
    void showSheet(const ResponderPtr &responder);
    void sheetStatus(const ResponderPtr &responder);
    void listHosts(const ResponderPtr &responder);
    void drainHost(const HostId &host, const HttpRequest &request, const std::string &by,
                   const ResponderPtr &responder);
    void initGroup(const HttpRequest &request, const ResponderPtr &responder);
    void replaceMember(const HttpRequest &request, const ResponderPtr &responder);
    void listAudit(const HttpTarget &target, const ResponderPtr &responder);
    void respondDone(const Outcome<Done> &outcome, std::uint16_t status,
                     const ResponderPtr &responder);

    ApiDeps deps_;
    OperatorDeps operator_;
    BatchApi &batches_;
};

} // namespace persimmonlb

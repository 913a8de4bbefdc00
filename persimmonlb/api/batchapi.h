#pragma once

#include <string>

#include "persimmonlb/api/apideps.h"
#include "persimmonlb/http/target.h"

namespace persimmonlb
{

/// Callers' interface to batch jobs: /v1/batches (INTERFACE.md).
///
/// A submission is answered 201 only once every item and the seal are acknowledged by a quorum. A
/// cancellation is answered only once every entry host has confirmed it or holds no lease any more,
/// so that no item starts afterwards. Results are streamed page by page; an answer that cannot be
/// completed is aborted. Not thread-safe; must outlive the requests it took.
class BatchApi
{
public:
    explicit BatchApi(ApiDeps deps);

    /// Takes a request whose path starts with /v1/batches.
    void handle(const HttpRequest &request, const HttpTarget &target,
                const ResponderPtr &responder);

    /// Cancels a job for a caller or (with an empty caller) an operator.
    void cancel(const JobId &id, const CallerName &caller, const std::string &by,
                const ResponderPtr &responder);

    /// Answers the list of jobs; all callers' when `caller` is empty.
    void list(const CallerName &caller, const ResponderPtr &responder);

private:
    struct Submission;

    void submit(const HttpRequest &request, const HttpTarget &target, const CallerName &caller,
                const ResponderPtr &responder);
    void addNextItems(const std::shared_ptr<Submission> &submission);
    void seal(const std::shared_ptr<Submission> &submission);
    void endSubmission(const std::shared_ptr<Submission> &submission,
                       const Outcome<JobReply> &reply);
    void show(const JobId &id, const CallerName &caller, const ResponderPtr &responder);
    void findJob(const JobId &id, const CallerName &caller, const ResponderPtr &responder,
                 std::function<void(const JobSummary &)> found);
    void sendResults(const JobId &id, std::uint32_t from, const ResponderPtr &responder,
                     bool started);
    void awaitConfirmation(const JobId &id, std::uint64_t version, MonotonicTime deadline,
                           const ResponderPtr &responder);
    void refuse(const CallerName &caller, const std::string &subject, const Error &error,
                const ResponderPtr &responder);

    ApiDeps deps_;
};

} // namespace persimmonlb

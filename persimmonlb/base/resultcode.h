#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

namespace persimmonlb
{

/// Whether a refused or failed request reached a backend server's admission.
enum class RunState : std::uint8_t {
    NotRun, ///< No byte of the request reached a backend server that admitted it.
    Unknown, ///< The request may or may not have run.
    Ran, ///< The request ran.
};

/// Numbered result of every operation that a caller, operator or peer can see.
///
/// Numbers are stable across releases. 1xx: the request is wrong. 2xx: the request is refused
/// although well formed. 3xx: the system cannot serve it now. 4xx: a backend server failed.
/// 5xx: configuration and operators. 6xx: the process itself.
enum class ResultCode : std::uint16_t {
    Ok = 0,
    MalformedRequest = 101,
    BodyTooLarge = 102,
    HeaderTooLarge = 103,
    UnknownService = 104,
    MethodNotAllowed = 105,
    NotFound = 106,
    RequestTimeout = 107,
    Unauthorized = 108,
    MissingIdempotencyKey = 109,
    BadItem = 110,
    Forbidden = 111,
    QuotaExceeded = 201,
    KeyReusedWithOtherBody = 202,
    Quarantined = 203,
    AlreadyCancelled = 204,
    JobNotFinished = 205,
    OutcomeUnknown = 206,
    InProgressElsewhere = 207,
    AlreadyRanOnce = 208,
    Overloaded = 301,
    DeadlineExceeded = 302,
    NoBackendServer = 303,
    NotInForce = 304,
    Draining = 305,
    NotLeader = 306,
    NoQuorum = 307,
    StoreUnavailable = 308,
    PeerUnreachable = 309,
    BackendConnectFailed = 401,
    BackendFailed = 402,
    BackendRefused = 403,
    StreamBroken = 404,
    Cancelled = 405,
    AttemptsExhausted = 406,
    ItemRejected = 407,
    SheetMalformed = 501,
    SheetNumberTooOld = 502,
    SheetNumberTaken = 503,
    SheetAlreadyAccepted = 504,
    StaleFencingNumber = 505,
    BelowMinimumReady = 506,
    GroupAlreadyInitialised = 507,
    GroupNotInitialised = 508,
    MemberChangeInProgress = 509,
    SettingsInvalid = 601,
    AddressInUse = 602,
    DataFolderUnusable = 603,
    CorruptStore = 604,
    Internal = 699,
};

/// One row of the result code table (docs/RESULT-CODES.md).
struct ResultCodeInfo {
    ResultCode code;
    std::string_view name; ///< snake_case, as in the "name" field of an error body.
    std::uint16_t httpStatus;
    RunState run;
    std::string_view meaning;
    std::string_view advice; ///< What the caller should do.
};

/// The whole table, ordered by number.
std::span<const ResultCodeInfo> allResultCodes();

/// The row of `code`; the row of Internal for a number that is not in the table.
const ResultCodeInfo &describe(ResultCode code);

/// The code with this number, or nothing when the table has none.
std::optional<ResultCode> resultCodeFromNumber(std::uint16_t number);

/// "not_run", "unknown" or "ran".
std::string_view toString(RunState run);

} // namespace persimmonlb

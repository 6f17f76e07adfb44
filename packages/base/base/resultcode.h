#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

namespace Galenabarrow
{

/// Result codes of the whole system. The numbers are part of the protocol and never change their meaning.
/// docs/result-codes.md contains the same table.
enum class ResultCode : std::uint16_t {
    Ok = 0,

    // 100 to 199: the call was not run
    NoContract = 100,
    ServiceNotInContract = 101,
    RateLimited = 102,
    ConcurrencyLimited = 103,
    DeadlineExpired = 104,
    NoServer = 105,
    QueueFull = 106,
    EntryFenced = 107,
    EntryStopping = 108,
    RefusedByServer = 109,
    NotSent = 110,
    KeyAlreadyRefused = 111,
    KeyWindowClosed = 112,
    KeyNotClaimed = 113,

    // 200 to 299: the outcome of the call is unknown
    OutcomeUnknown = 200,
    AttemptTimedOut = 201,
    ConnectionLost = 202,
    AnswerCutShort = 203,
    AnswerTooLarge = 204,
    KeyOwnerUnreachable = 205,
    KeyOwnerEnded = 206,
    KeyWindowForgotten = 207,
    KeyInProgress = 208,
    KeyAlreadyRun = 209,

    // 300 to 399: contract changes and control
    VersionConflict = 300,
    NotAccepted = 301,
    ChangeOutcomeUnknown = 302,
    ContractInvalid = 303,
    ContractNotFound = 304,
    NoQuorum = 305,
    NotLeader = 306,
    ChangeIdReused = 307,
    ConfigInvalid = 308,

    // 400 to 499: invalid input
    HeaderMissing = 400,
    HeaderInvalid = 401,
    HeaderContradictory = 402,
    HeaderTooLarge = 403,
    BodyTooLarge = 404,
    BodyMalformed = 405,
    PathUnknown = 406,
    TokenWrong = 407,
    TooManyConnections = 408,
    FrameTooLarge = 409,
    FrameMalformed = 410,
    FrameDigestWrong = 411,
    AnnouncementInvalid = 412,
    AnnouncementStale = 413,

    // 500 to 599: settings, files and the command line
    SettingsUnreadable = 500,
    SettingsInvalid = 501,
    StoreCorrupt = 502,
    StoreWriteFailed = 503,
    StoreLocked = 504,
    AddressUnavailable = 505,
    UsageError = 506,
    Unreachable = 507,
    InternalError = 508,
};

/// One row of the table of result codes.
struct ResultCodeRow {
    ResultCode code;
    std::string_view name;
    std::string_view meaning;
};

/// All result codes in ascending order of their numbers.
std::span<const ResultCodeRow> resultCodeTable();
/// The name of \p code from the table, or "Unlisted" if the table has no such number.
std::string_view resultCodeName(ResultCode code);

/// Error of a failed operation: a code for programs and a detail text for people.
struct Error {
    ResultCode code = ResultCode::InternalError;
    std::string detail;
};

template<typename T>
using Result = tl::expected<T, Error>;

/// Creates the error value of a Result.
inline tl::unexpected<Error> failure(ResultCode code, std::string detail)
{
    return tl::make_unexpected(Error { code, std::move(detail) });
}

}

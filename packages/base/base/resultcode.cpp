#include "base/resultcode.h"

#include <algorithm>
#include <array>

namespace Galenabarrow
{

namespace
{
constexpr auto Table = std::to_array<ResultCodeRow>({
    { ResultCode::Ok, "Ok", "The operation succeeded." },
    { ResultCode::NoContract, "NoContract", "The customer has no contract in force; not run." },
    { ResultCode::ServiceNotInContract, "ServiceNotInContract", "The contract does not name the service; not run." },
    { ResultCode::RateLimited, "RateLimited", "The customer's rate is used up at this entry; not run." },
    { ResultCode::ConcurrencyLimited, "ConcurrencyLimited", "The customer's calls in flight are at the limit; not run." },
    { ResultCode::DeadlineExpired, "DeadlineExpired", "The deadline passed before the call was dispatched; not run." },
    { ResultCode::NoServer, "NoServer", "No server of the service can take the call; not run." },
    { ResultCode::QueueFull, "QueueFull", "The entry's queue is full; not run." },
    { ResultCode::EntryFenced, "EntryFenced", "The entry has no fresh contract table and takes no work; not run." },
    { ResultCode::EntryStopping, "EntryStopping", "The entry is stopping; not run." },
    { ResultCode::RefusedByServer, "RefusedByServer", "The server refused with its documented refusal; not run." },
    { ResultCode::NotSent, "NotSent", "No byte of the request reached a server connection; not run." },
    { ResultCode::KeyAlreadyRefused, "KeyAlreadyRefused", "The action key was answered with not run before; a new try needs a new key." },
    { ResultCode::KeyWindowClosed, "KeyWindowClosed", "The key window is full and takes no new keys; not run." },
    { ResultCode::KeyNotClaimed, "KeyNotClaimed", "The action key could not be claimed in the replicated log; not run." },
    { ResultCode::OutcomeUnknown, "OutcomeUnknown", "The call may or may not have run." },
    { ResultCode::AttemptTimedOut, "AttemptTimedOut", "The server did not answer by the deadline; outcome unknown." },
    { ResultCode::ConnectionLost, "ConnectionLost", "The connection failed after request bytes were sent; outcome unknown." },
    { ResultCode::AnswerCutShort, "AnswerCutShort", "The answer ended before its stated length; outcome unknown." },
    { ResultCode::AnswerTooLarge, "AnswerTooLarge", "The answer is larger than the limit; outcome unknown." },
    { ResultCode::KeyOwnerUnreachable, "KeyOwnerUnreachable", "The entry that owns the action key cannot be reached; outcome unknown." },
    { ResultCode::KeyOwnerEnded, "KeyOwnerEnded", "The incarnation that owns the action key has ended; outcome unknown." },
    { ResultCode::KeyWindowForgotten, "KeyWindowForgotten", "The window of the action key is no longer kept; outcome unknown." },
    { ResultCode::KeyInProgress, "KeyInProgress", "The action key is being run by an earlier request; outcome not known yet." },
    { ResultCode::KeyAlreadyRun, "KeyAlreadyRun", "The action key ran before, and its answer is no longer kept." },
    { ResultCode::VersionConflict, "VersionConflict", "The contract has another version than expected; the winner is named." },
    { ResultCode::NotAccepted, "NotAccepted", "The change was not accepted and never will be." },
    { ResultCode::ChangeOutcomeUnknown, "ChangeOutcomeUnknown", "The change may still be accepted; resend it with the same change id." },
    { ResultCode::ContractInvalid, "ContractInvalid", "The contract has faults; all are listed." },
    { ResultCode::ContractNotFound, "ContractNotFound", "The customer has no contract." },
    { ResultCode::NoQuorum, "NoQuorum", "The control instances have no quorum." },
    { ResultCode::NotLeader, "NotLeader", "The control instance is not the leader." },
    { ResultCode::ChangeIdReused, "ChangeIdReused", "The change id was used for a different change." },
    { ResultCode::ConfigInvalid, "ConfigInvalid", "The routing configuration breaks a rule of every configuration." },
    { ResultCode::HeaderMissing, "HeaderMissing", "A required header is missing." },
    { ResultCode::HeaderInvalid, "HeaderInvalid", "A header has an invalid value." },
    { ResultCode::HeaderContradictory, "HeaderContradictory", "A header is given twice with different values." },
    { ResultCode::HeaderTooLarge, "HeaderTooLarge", "The header section is larger than the limit." },
    { ResultCode::BodyTooLarge, "BodyTooLarge", "The body is larger than the limit." },
    { ResultCode::BodyMalformed, "BodyMalformed", "The body cannot be parsed." },
    { ResultCode::PathUnknown, "PathUnknown", "The path is not served here." },
    { ResultCode::TokenWrong, "TokenWrong", "The bearer token is missing or wrong." },
    { ResultCode::TooManyConnections, "TooManyConnections", "The limit of connections is reached." },
    { ResultCode::FrameTooLarge, "FrameTooLarge", "A frame is larger than the limit." },
    { ResultCode::FrameMalformed, "FrameMalformed", "A frame cannot be verified or parsed." },
    { ResultCode::FrameDigestWrong, "FrameDigestWrong", "The keyed digest of a frame does not match." },
    { ResultCode::AnnouncementInvalid, "AnnouncementInvalid", "An announcement has invalid fields." },
    { ResultCode::AnnouncementStale, "AnnouncementStale", "An announcement is older than the one in force." },
    { ResultCode::SettingsUnreadable, "SettingsUnreadable", "The settings file cannot be read." },
    { ResultCode::SettingsInvalid, "SettingsInvalid", "The settings file has faults; all are listed." },
    { ResultCode::StoreCorrupt, "StoreCorrupt", "The data folder is corrupt before its tail." },
    { ResultCode::StoreWriteFailed, "StoreWriteFailed", "The data folder cannot be written or synced." },
    { ResultCode::StoreLocked, "StoreLocked", "Another process holds the data folder." },
    { ResultCode::AddressUnavailable, "AddressUnavailable", "A listening address cannot be bound." },
    { ResultCode::UsageError, "UsageError", "The command line is not valid." },
    { ResultCode::Unreachable, "Unreachable", "The instance cannot be reached." },
    { ResultCode::InternalError, "InternalError", "An invariant does not hold; please report it." },
});
}

std::span<const ResultCodeRow> resultCodeTable()
{
    return Table;
}

std::string_view resultCodeName(ResultCode code)
{
    const auto it = std::find_if(Table.begin(), Table.end(), [code](const ResultCodeRow &row) { return row.code == code; });
    return it == Table.end() ? std::string_view("Unlisted") : it->name;
}

}

#pragma once

#include <cstdint>
#include <optional>
#include <variant>

#include "actions/actionkey.h"
#include "base/clock.h"
#include "base/id.h"
#include "base/outcome.h"
#include "base/resultcode.h"

namespace Galenabarrow::Entry
{

/// A call as the shell hands it to the call engine.
struct CallRequest {
    CustomerId customer;
    ServiceId service;
    /// True when the call may run more than once.
    bool idempotent = false;
    /// Only for actions.
    std::optional<Actions::ActionKey> actionKey;
    /// Until when the caller needs the answer.
    Instant deadline {};
    /// How many calls above this one wait for it; 0 for a call from outside.
    std::uint8_t depth = 0;
    /// True when a hop above already retries this call; it is then not retried here.
    bool isRetryUpstream = false;
};

/// How one attempt at a server ended.
enum class AttemptEnd : std::uint8_t {
    /// A whole answer arrived.
    Answered,
    /// The server refused with its documented refusal, so the call was not run.
    RefusedByServer,
    /// No connection; no byte was sent.
    ConnectFailed,
    /// The connection failed before any byte of the request was handed to it.
    FailedBeforeSend,
    /// The connection failed after bytes were handed to it; says nothing about whether the call ran.
    FailedAfterSend,
    /// No answer by the attempt's deadline; says nothing about whether the call ran.
    TimedOut,
    /// Cancelled by the engine; says nothing about whether the call ran.
    Cancelled,
};

/// True when the end proves that the call was not run.
bool provesNotRun(AttemptEnd end);
/// The result code of a call whose last attempt ended so.
ResultCode codeOf(AttemptEnd end);

/// The load that a server stated in an answer.
struct ServerLoad {
    std::uint32_t inFlight = 0;
    std::uint32_t slots = 0;
};

/// What the shell saw of one attempt.
struct AttemptReport {
    AttemptId attempt;
    AttemptEnd end = AttemptEnd::Answered;
    /// Only when a whole answer arrived.
    std::uint16_t httpStatus = 0;
    Duration elapsed {};
    std::optional<ServerLoad> load;
    /// Until when the server wants no more calls.
    std::optional<Instant> resetAt;
};

/// Asks the shell to send the call to a server.
struct DispatchAttempt {
    CallId call;
    AttemptId attempt;
    ServerId server;
    Instant deadline {};
    /// 0 for the first attempt of a call.
    std::uint8_t number = 0;
    bool isHedge = false;
};

/// Asks the shell to give up an attempt; the shell still reports its end.
struct CancelAttempt {
    AttemptId attempt;
};

/// Tells the shell the outcome of a call. Sent exactly once for each call.
struct FinishCall {
    CallId call;
    Outcome outcome = Outcome::NotRun;
    ResultCode code = ResultCode::Ok;
    /// The attempt whose answer is passed on; only for Outcome::Answered.
    AttemptId winner;
};

using Effect = std::variant<DispatchAttempt, CancelAttempt, FinishCall>;

}

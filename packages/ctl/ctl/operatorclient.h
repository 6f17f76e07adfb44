#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "contract/contract.h"

namespace Galenabarrow::Ctl
{

/// How the operators' interface is reached.
struct ClientOptions {
    /// "host:port", tried in this order.
    std::vector<std::string> addresses;
    /// The bearer token.
    std::string token;
    /// For the connection and for each answer; more than the 5 s for which an instance waits for the result of a change.
    Duration timeout = std::chrono::seconds(10);
    /// How often all addresses are tried.
    unsigned rounds = 5;
    /// Called between two rounds; sleeps in the program, does nothing in tests.
    std::function<void()> waitBetweenRounds = [] {};
};

/// Sends requests to the operators' interface. When an address cannot be reached, or its instance cannot serve a request at
/// the time, the next address is tried. All requests are safe to repeat: reads and drains are idempotent, and a change keeps
/// its change id.
class OperatorClient
{
public:
    explicit OperatorClient(ClientOptions options);

    /// The body of the first successful answer. Fails with the error that an instance returned, or with Unreachable.
    Result<std::string> get(const std::string &path) const;
    /// The same from one address only, tried once.
    Result<std::string> getFrom(const std::string &address, const std::string &path) const;
    Result<std::string> post(const std::string &path) const;

    /// Puts or withdraws a contract. The result may be a conflict. Fails with ChangeOutcomeUnknown when a request was sent
    /// and no instance answered, with Unreachable when none was sent, or with the error that an instance returned.
    Result<ChangeResult> change(const ContractChange &change) const;

    const std::vector<std::string> &addresses() const;

private:
    struct Request;
    struct Reply;
    struct Attempt;

    Attempt exchange(const std::string &address, const Request &request) const;
    static Result<Reply> interpretReply(const std::string &address, const Request &request, bool isOk, std::string body);
    Result<Reply> sendToAny(const Request &request) const;

    ClientOptions m_options;
};

}

#pragma once

#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include <Poco/Net/HTTPServer.h>

#include "contract/contract.h"

/// A fake of the operators' interface. Several listeners share one state, as the instances of a cluster do.
class FakeOperators
{
public:
    /// How one request is handled. Requests after the last scripted behaviour are served.
    enum class Behaviour {
        Serve,
        /// The connection ends before the request has an effect.
        DropRequest,
        /// The request has its effect, but the connection ends without an answer.
        DropAnswer,
        /// The request has its effect, but only half of the answer is sent.
        TruncateAnswer,
        RefuseNotLeader,
        /// A refusal of an instance, which says nothing about earlier sends of the change.
        RefuseNotAccepted,
        /// A change result that was decided in the log.
        DecideNotAccepted,
        RefuseOutcomeUnknown,
    };

    explicit FakeOperators(std::string token);
    ~FakeOperators();
    FakeOperators(const FakeOperators &) = delete;
    FakeOperators &operator=(const FakeOperators &) = delete;

    /// Starts one more listener and returns its address.
    std::string addListener();
    /// Sets the behaviours of the next requests, in order.
    void setBehaviours(std::deque<Behaviour> behaviours);
    /// Sets the body of the answer to all requests for \p path, which must not be below /v1/contracts.
    void setAnswer(const std::string &path, const std::string &body);

    /// "METHOD path" of all requests in the order of their arrival.
    std::vector<std::string> requests() const;
    /// The change ids of all requests that carried one.
    std::vector<std::string> changeIds() const;
    /// How many changes were accepted.
    std::uint64_t version() const;

    struct Response {
        int status = 200;
        std::string body;
    };

private:
    friend class FakeHandler;

    Behaviour nextBehaviour();
    Response serve(const std::string &method, const std::string &path, const std::string &token,
                   const std::map<std::string, std::string> &headers, const std::string &body);
    Response change(const std::string &method, const std::string &customer, const std::map<std::string, std::string> &headers,
                    const std::string &body);

    std::string m_token;
    mutable std::mutex m_mutex;
    std::deque<Behaviour> m_behaviours;
    std::map<std::string, std::string> m_answers;
    std::vector<std::string> m_requests;
    std::vector<std::string> m_changeIds;
    std::map<std::string, Galenabarrow::Contract> m_contracts;
    std::map<std::string, Galenabarrow::ChangeResult> m_results;
    Galenabarrow::ChangeId m_lastChange;
    std::uint64_t m_version = 0;
    std::vector<std::unique_ptr<Poco::Net::HTTPServer>> m_servers;
};

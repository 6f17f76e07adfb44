#include "teststand/loadgenerator.h"

#include <algorithm>
#include <chrono>
#include <fstream>
#include <sstream>
#include <thread>

#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/StreamCopier.h>
#include <Poco/Timespan.h>

#include "base/random.h"
#include "teststand/markedbody.h"

namespace Galenabarrow::Teststand
{

namespace
{

using SteadyTime = std::chrono::steady_clock::time_point;
constexpr std::uint64_t Permille = 1000;
// A caller waits longer than the deadline of its call, because the entry answers an expired call only at the deadline.
constexpr std::int64_t DeadlineGraceMs = 2000;
constexpr int MaxActionAttempts = 3;

struct Target {
    std::string address;
    std::string keyScope;
};

struct Call {
    std::string path;
    std::string mark;
    std::string key;
    std::string behaviour;
    bool isAction = false;
};

struct Answer {
    bool isReceived = false;
    std::string outcome;
    std::string code;
    std::string body;
};

/// One caller, with connections and a list of target addresses of its own.
class Caller
{
public:
    Caller(const LoadConfig &config, std::uint32_t number)
        : m_config(config)
        , m_number(number)
        , m_random(config.seed * 1000 + number)
    {
    }

    LoadReport run(SteadyTime end, std::atomic<std::int64_t> &remainingCalls)
    {
        const SteadyTime start = std::chrono::steady_clock::now();
        for (std::uint64_t n = 0; std::chrono::steady_clock::now() < end; ++n) {
            if (remainingCalls.fetch_sub(1) <= 0) {
                break;
            }
            if (m_config.ratePerSecond > 0) {
                const auto gap = std::chrono::nanoseconds(1'000'000'000ULL * m_config.threads / m_config.ratePerSecond);
                std::this_thread::sleep_until(start + gap * n);
            }
            runCall(n);
        }
        return std::move(m_report);
    }

private:
    void runCall(std::uint64_t n)
    {
        const SteadyTime begin = std::chrono::steady_clock::now();
        refreshTargets(begin);
        if (m_targets.empty()) {
            recordResult({}, Answer {}, begin);
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
            return;
        }
        Call call = makeCall(n);
        Answer answer = send(call, m_targets.front());
        // A resend has the same action key, so that the action is not run twice.
        for (int attempts = 1; !answer.isReceived && attempts < MaxActionAttempts && call.isAction; ++attempts) {
            std::rotate(m_targets.begin(), m_targets.begin() + 1, m_targets.end());
            answer = send(call, m_targets.front());
        }
        recordResult(call, answer, begin);
        if (!answer.isReceived) {
            m_validUntil = begin;
        }
    }

    Call makeCall(std::uint64_t n)
    {
        Call call;
        call.mark = "s" + std::to_string(m_config.seed) + "c" + std::to_string(m_number) + "n" + std::to_string(n);
        call.isAction = m_random.below(Permille) < m_config.actionPermille;
        const std::string &service = m_config.services[m_random.below(m_config.services.size())];
        const std::string prefix = m_config.direct.empty() ? "/s/" + service : std::string();
        call.path = prefix + (call.isAction ? "/orders" : m_config.lookupPath);
        if (call.isAction) {
            call.key = m_targets.front().keyScope + ":" + call.mark;
        }
        if (!m_config.behaviours.empty() && n % m_config.behaviourEvery == 0) {
            call.behaviour = m_config.behaviours[(n / m_config.behaviourEvery) % m_config.behaviours.size()];
        }
        return call;
    }

    Answer send(const Call &call, const Target &target)
    {
        Answer answer;
        try {
            Poco::Net::HTTPClientSession &session = sessionFor(target.address);
            Poco::Net::HTTPRequest request(call.isAction ? "POST" : "GET", call.path, Poco::Net::HTTPMessage::HTTP_1_1);
            request.setContentLength(0);
            request.set("Galenabarrow-Customer", m_config.customer);
            request.set("Galenabarrow-Deadline-Ms", std::to_string(m_config.deadlineMs));
            request.set(MarkHeader, call.mark);
            request.set(SizeHeader, std::to_string(m_config.bodyBytes));
            if (call.isAction) {
                request.set("Galenabarrow-Action-Key", call.key);
            }
            if (!call.behaviour.empty()) {
                request.set(BehaviourHeader, call.behaviour);
            }
            session.sendRequest(request);
            Poco::Net::HTTPResponse response;
            Poco::StreamCopier::copyToString(session.receiveResponse(response), answer.body);
            answer.outcome = response.get("Galenabarrow-Outcome", m_config.direct.empty() ? "none" : "answered");
            answer.code = response.get("Galenabarrow-Code", "0");
            answer.isReceived = true;
            if (!response.getKeepAlive()) {
                m_sessions.erase(target.address);
            }
        } catch (const Poco::Exception &) {
            m_sessions.erase(target.address);
        }
        return answer;
    }

    void recordResult(const Call &call, const Answer &answer, SteadyTime begin)
    {
        const std::string outcome = answer.isReceived ? answer.outcome : "lost";
        ++m_report.calls;
        ++m_report.outcomes[outcome];
        ++m_report.codes[answer.code];
        if (call.isAction) {
            ++m_report.actionOutcomes[outcome];
            m_report.actionLines.push_back(call.key + " " + outcome);
        }
        if (outcome != "answered") {
            return;
        }
        const auto elapsed = std::chrono::steady_clock::now() - begin;
        m_report.latenciesUs.push_back(static_cast<std::uint32_t>(std::chrono::duration_cast<std::chrono::microseconds>(elapsed).count()));
        // Responses with an error status contain the complete marked body, too.
        m_report.wrongBodies += answer.body == markedBody(call.mark, m_config.bodyBytes) ? 0 : 1;
    }

    Poco::Net::HTTPClientSession &sessionFor(const std::string &address)
    {
        auto &session = m_sessions[address];
        if (!session) {
            session = std::make_unique<Poco::Net::HTTPClientSession>(Poco::Net::SocketAddress(address));
            session->setKeepAlive(true);
            session->setTimeout(Poco::Timespan(1, 0), Poco::Timespan(1, 0), Poco::Timespan((m_config.deadlineMs + DeadlineGraceMs) * 1000));
        }
        return *session;
    }

    void refreshTargets(SteadyTime now)
    {
        if (!m_config.direct.empty()) {
            if (m_targets.empty()) {
                for (const std::string &it : m_config.direct) {
                    m_targets.push_back(Target { it, "direct.1.1" });
                }
            }
            return;
        }
        if (!m_targets.empty() && now < m_validUntil) {
            return;
        }
        // Every entry can return the addresses; if one does not answer, the next one is queried.
        for (std::size_t n = 0; n < m_config.entries.size(); ++n) {
            const std::string &entry = m_config.entries[(m_number + n + m_lookupStart) % m_config.entries.size()];
            if (fetchTargets(entry, now)) {
                return;
            }
            ++m_lookupStart;
        }
    }

    bool fetchTargets(const std::string &entry, SteadyTime now)
    {
        try {
            Poco::Net::HTTPClientSession session(Poco::Net::SocketAddress { entry });
            session.setTimeout(Poco::Timespan(1, 0), Poco::Timespan(1, 0), Poco::Timespan(1, 0));
            Poco::Net::HTTPRequest request("GET", "/v1/entries?dc=" + m_config.dataCentre, Poco::Net::HTTPMessage::HTTP_1_1);
            session.sendRequest(request);
            Poco::Net::HTTPResponse response;
            const auto object = Poco::JSON::Parser().parse(session.receiveResponse(response)).extract<Poco::JSON::Object::Ptr>();
            const auto entries = object->getArray("entries");
            if (entries.isNull() || entries->size() == 0) {
                return false;
            }
            m_targets.clear();
            for (std::size_t n = 0; n < entries->size(); ++n) {
                const auto it = entries->getObject(static_cast<unsigned>(n));
                m_targets.push_back(Target { it->getValue<std::string>("address"), it->getValue<std::string>("keyScope") });
            }
            // Each caller starts at another address, which spreads the load.
            std::rotate(m_targets.begin(), m_targets.begin() + static_cast<std::ptrdiff_t>(m_number % m_targets.size()), m_targets.end());
            m_validUntil = now + std::chrono::seconds(object->getValue<int>("maxAgeSeconds"));
            ++m_report.lookups;
            return true;
        } catch (const Poco::Exception &) {
            return false;
        }
    }

    const LoadConfig &m_config;
    std::uint32_t m_number;
    SeededRandom m_random;
    std::vector<Target> m_targets;
    SteadyTime m_validUntil {};
    std::size_t m_lookupStart = 0;
    std::map<std::string, std::unique_ptr<Poco::Net::HTTPClientSession>> m_sessions;
    LoadReport m_report;
};

std::uint32_t percentile(const std::vector<std::uint32_t> &sorted, double fraction)
{
    return sorted.empty() ? 0
                          : sorted[std::min(sorted.size() - 1, static_cast<std::size_t>(fraction * static_cast<double>(sorted.size())))];
}

Poco::JSON::Object::Ptr countsToJson(const std::map<std::string, std::uint64_t> &counts)
{
    Poco::JSON::Object::Ptr object = new Poco::JSON::Object;
    for (const auto &[name, count] : counts) {
        object->set(name, count);
    }
    return object;
}

void addCounts(std::map<std::string, std::uint64_t> &to, const std::map<std::string, std::uint64_t> &from)
{
    for (const auto &[name, count] : from) {
        to[name] += count;
    }
}

}

void LoadReport::add(const LoadReport &other)
{
    calls += other.calls;
    lookups += other.lookups;
    wrongBodies += other.wrongBodies;
    addCounts(outcomes, other.outcomes);
    addCounts(actionOutcomes, other.actionOutcomes);
    addCounts(codes, other.codes);
    latenciesUs.insert(latenciesUs.end(), other.latenciesUs.begin(), other.latenciesUs.end());
    actionLines.insert(actionLines.end(), other.actionLines.begin(), other.actionLines.end());
}

std::string LoadReport::toJson()
{
    std::sort(latenciesUs.begin(), latenciesUs.end());
    Poco::JSON::Object::Ptr latency = new Poco::JSON::Object;
    latency->set("p50", percentile(latenciesUs, 0.5));
    latency->set("p99", percentile(latenciesUs, 0.99));
    latency->set("p999", percentile(latenciesUs, 0.999));
    latency->set("max", latenciesUs.empty() ? 0 : latenciesUs.back());
    Poco::JSON::Object object;
    object.set("calls", calls);
    object.set("seconds", seconds);
    object.set("lookups", lookups);
    object.set("wrongBodies", wrongBodies);
    object.set("outcomes", countsToJson(outcomes));
    object.set("actions", countsToJson(actionOutcomes));
    object.set("codes", countsToJson(codes));
    object.set("latencyUs", latency);
    std::ostringstream text;
    object.stringify(text);
    return text.str();
}

LoadReport runLoad(const LoadConfig &config)
{
    const SteadyTime start = std::chrono::steady_clock::now();
    const SteadyTime end = start + std::chrono::seconds(config.seconds);
    std::atomic<std::int64_t> remainingCalls { static_cast<std::int64_t>(config.calls) };
    std::vector<LoadReport> reports(config.threads);
    std::vector<std::thread> threads;
    for (std::uint32_t n = 0; n < config.threads; ++n) {
        threads.emplace_back([&, n] { reports[n] = Caller(config, n).run(end, remainingCalls); });
    }
    for (std::thread &it : threads) {
        it.join();
    }
    LoadReport total;
    for (const LoadReport &it : reports) {
        total.add(it);
    }
    total.seconds = std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
    if (!config.actionsFile.empty()) {
        std::ofstream file(config.actionsFile);
        for (const std::string &it : total.actionLines) {
            file << it << '\n';
        }
    }
    return total;
}

}

#include "processfixture.h"

#include <chrono>
#include <csignal>
#include <fstream>
#include <thread>

#include <sys/wait.h>

#include <Poco/Exception.h>
#include <Poco/File.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/PipeStream.h>
#include <Poco/StreamCopier.h>
#include <catch2/catch.hpp>

namespace Galenabarrow::Daemon::Test
{

namespace
{

constexpr auto WaitLimit = std::chrono::seconds(60);
constexpr auto PollInterval = std::chrono::milliseconds(20);
const Poco::Timespan ResponseTimeout(30, 0);
const std::string Token = "token-of-the-process-tests";

/// A port that was free a moment ago, for addresses that several processes have to know before any of them starts.
std::string freeAddress()
{
    const Poco::Net::ServerSocket socket(Poco::Net::SocketAddress("127.0.0.1:0"));
    return socket.address().toString();
}

void writeFile(const std::string &path, const std::string &text)
{
    std::ofstream(path) << text;
}

/// \p listen is the address where the instance accepts peers, \p advertised the address that it announces to them when it
/// differs.
std::string settingsText(const std::string &name, bool isControl, const std::string &controlAddress, const std::string &listen,
                         const std::string &advertised, const ClusterOptions &options)
{
    std::string text = "[instance]\nid = \"" + name + "\"\ndata_centre = \"dc1\"\nroles = [\"entry\"" + (isControl ? ", \"control\"" : "")
        + "]\n[cluster]\nid = \"test\"\nkey_file = \"key\"\n[listen]\ncallers = \"127.0.0.1:0\"\noperators = \"127.0.0.1:0\"\npeers = \""
        + listen + "\"\n" + (advertised.empty() ? "" : "[advertise]\npeers = \"" + advertised + "\"\n")
        + "[operators]\ntoken_file = \"token\"\n[log]\nthreshold = \"error\"\n"
        + "[timings]\nelection_timeout_ms = 300\nheartbeat_ms = 100\nfreshness_limit_ms = " + std::to_string(options.freshnessLimitMs)
        + "\ndirectory_max_age_s = 1\ndrain_s = " + std::to_string(options.drainSeconds) + "\n"
        + "server_lease_ms = 5000\n[limits]\nheader_bytes = 4096\nbody_bytes = 65536\nconnections = 64\n[control]\n";
    if (isControl) {
        text += "data_folder = \"data\"\nbootstrap = true\n";
    }
    return text + "[[control.replicas]]\ninstance = \"e0\"\ndata_centre = \"dc1\"\npeer_address = \"" + controlAddress + "\"\n";
}

const char *const ContractText = R"({"customer":"abyssinia","services":[{"service":"orders","idempotentPaths":["/stock"],
    "maxDeadlineMs":2000,"hedgePermille":50,"retryPermille":200}],"ratePerSecond":1000000,"burst":100000,"concurrency":10000,
    "objectivePermille":990,"objectiveLatencyMs":50})";

Poco::JSON::Object::Ptr parse(const std::string &text)
{
    return Poco::JSON::Parser().parse(text).extract<Poco::JSON::Object::Ptr>();
}

}

bool waitUntil(const std::function<bool()> &condition)
{
    const auto end = std::chrono::steady_clock::now() + WaitLimit;
    while (std::chrono::steady_clock::now() < end) {
        if (condition()) {
            return true;
        }
        std::this_thread::sleep_for(PollInterval);
    }
    return false;
}

HttpAnswer send(const std::string &address, const std::string &method, const std::string &path, const Fields &fields,
                const std::string &body)
{
    HttpAnswer answer;
    try {
        Poco::Net::HTTPClientSession session(Poco::Net::SocketAddress { address });
        session.setTimeout(ResponseTimeout, ResponseTimeout, ResponseTimeout);
        Poco::Net::HTTPRequest request(method, path, Poco::Net::HTTPMessage::HTTP_1_1);
        for (const auto &[name, value] : fields) {
            request.set(name, value);
        }
        request.setContentLength(static_cast<std::streamsize>(body.size()));
        session.sendRequest(request) << body;
        Poco::Net::HTTPResponse response;
        Poco::StreamCopier::copyToString(session.receiveResponse(response), answer.body);
        answer.status = response.getStatus();
        answer.outcome = response.get("Galenabarrow-Outcome", "");
        answer.code = std::stoi(response.get("Galenabarrow-Code", "-1"));
    } catch (const Poco::Exception &) {
        answer.status = 0;
    }
    return answer;
}

std::string sendRaw(const std::string &address, const std::string &bytes, bool endOfStream)
{
    Poco::Net::StreamSocket socket(Poco::Net::SocketAddress { address });
    socket.setReceiveTimeout(ResponseTimeout);
    std::string answer;
    try {
        socket.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
        if (endOfStream) {
            socket.shutdownSend();
        }
        char buf[4096];
        for (int n = socket.receiveBytes(buf, sizeof buf); n > 0; n = socket.receiveBytes(buf, sizeof buf)) {
            answer.append(buf, static_cast<std::size_t>(n));
        }
    } catch (const Poco::Exception &) {
        // The bytes received before the connection failed are the answer.
    }
    return answer;
}

Child::Child(const std::string &program, const std::vector<std::string> &arguments)
{
    const std::string path = std::string(GALENABARROW_BIN_DIR) + "/" + program;
    m_handle = std::make_unique<Poco::ProcessHandle>(Poco::Process::launch(path, arguments, nullptr, &m_output, nullptr));
    Poco::PipeInputStream stream(m_output);
    std::getline(stream, m_firstLine);
}

Child::~Child()
{
    if (!m_waited) {
        signal(SIGCONT);
        signal(SIGKILL);
        m_handle->wait();
    }
}

std::string Child::value(const std::string &name) const
{
    const std::string padded = " " + m_firstLine + " ";
    const std::size_t begin = padded.find(" " + name + "=");
    REQUIRE(begin != std::string::npos);
    const std::size_t start = begin + name.size() + 2;
    return padded.substr(start, padded.find(' ', start) - start);
}

void Child::signal(int number) const
{
    ::kill(m_handle->id(), number);
    if (number == SIGSTOP) {
        // The signal is delivered to one thread after the other; on a busy machine, other threads kept running for some
        // milliseconds.
        int status = 0;
        REQUIRE(::waitpid(m_handle->id(), &status, WUNTRACED) == m_handle->id());
        REQUIRE(WIFSTOPPED(status));
    }
}

int Child::wait()
{
    m_waited = true;
    return m_handle->wait();
}

bool Child::isRunning() const
{
    return Poco::Process::isRunning(*m_handle);
}

Cluster::Cluster(std::size_t entryCount, ClusterOptions options)
    : m_options(std::move(options))
    , m_entryCount(entryCount)
{
    if (m_options.isRelayed) {
        m_relayToLast = std::make_unique<Teststand::Relay>();
        m_relayToControl = std::make_unique<Teststand::Relay>();
    }
    // Chosen after the relays have started, so that none of them listens on the port that is chosen for control.
    m_controlAddress = freeAddress();
    if (m_options.isRelayed) {
        m_relayToControl->setTarget(m_controlAddress);
    }
    m_folder.createDirectories();
    writeFile(m_folder.path() + "/key", "key-of-the-process-tests");
    writeFile(m_folder.path() + "/token", Token);
    for (std::size_t n = 0; n < entryCount; ++n) {
        startEntry(n);
    }
    HttpAnswer accepted;
    const bool isAccepted = waitUntil([&] {
        accepted = operatorRequest(0, "PUT", "/v1/contracts/abyssinia", { { "If-Match", "0" }, { "Galenabarrow-Change-Id", "first" } },
                                   ContractText);
        return accepted.status == 200;
    });
    INFO("last answer: " << accepted.status << " " << accepted.code << " " << accepted.body);
    REQUIRE(isAccepted);
    for (std::size_t n = 0; n < entryCount; ++n) {
        REQUIRE(waitUntil([this, n] { return isServing(n); }));
    }
}

void Cluster::startEntry(std::size_t number)
{
    const std::string name = "e" + std::to_string(number);
    const std::string path = m_folder.path() + "/" + name + ".toml";
    std::string text;
    if (m_relayToLast && number + 1 == m_entryCount) {
        const std::string listen = freeAddress();
        m_relayToLast->setTarget(listen);
        text = settingsText(name, false, m_relayToControl->address(), listen, m_relayToLast->address(), m_options);
    } else {
        text = settingsText(name, number == 0, m_controlAddress, number == 0 ? m_controlAddress : "127.0.0.1:0", {}, m_options);
    }
    writeFile(path, text + m_options.extraSettings);
    Entry entry;
    entry.process = std::make_unique<Child>("galenabarrowd", std::vector<std::string> { "--settings", path });
    entry.callers = entry.process->value("callers");
    entry.operators = entry.process->value("operators");
    m_entries.push_back(std::move(entry));
}

Entry &Cluster::entry(std::size_t number)
{
    return m_entries.at(number);
}

Teststand::Relay &Cluster::relayToLast()
{
    return *m_relayToLast;
}

Teststand::Relay &Cluster::relayToControl()
{
    return *m_relayToControl;
}

std::vector<std::string> Cluster::callerAddresses() const
{
    std::vector<std::string> addresses;
    for (const Entry &it : m_entries) {
        addresses.push_back(it.callers);
    }
    return addresses;
}

bool Cluster::isServing(std::size_t number)
{
    const HttpAnswer status = operatorRequest(number, "GET", "/v1/status");
    if (status.status != 200) {
        return false;
    }
    const auto object = parse(status.body);
    const auto instances = object->getArray("instances");
    std::size_t serving = 0;
    for (std::size_t n = 0; n < instances->size(); ++n) {
        serving += instances->getObject(static_cast<unsigned>(n))->getValue<bool>("serving") ? 1 : 0;
    }
    return serving == m_entries.size() && object->getArray("contracts")->size() == 1;
}

Child &Cluster::startServer(const std::vector<std::string> &arguments)
{
    const std::string name = "s" + std::to_string(m_servers.size());
    std::vector<std::string> all { "--service=orders", "--server=" + name, "--entries=" + m_entries[0].callers,
                                   "--announce_interval_ms=300" };
    all.insert(all.end(), arguments.begin(), arguments.end());
    m_servers.push_back(std::make_unique<Child>("galenabarrow-standin", all));
    for (std::size_t n = 0; n < m_entries.size(); ++n) {
        REQUIRE(waitUntil([&] { return operatorRequest(n, "GET", "/v1/status").body.find("\"" + name + "\"") != std::string::npos; }));
    }
    return *m_servers.back();
}

std::string Cluster::keyScope(std::size_t number)
{
    std::string scope;
    REQUIRE(waitUntil([&] {
        const auto entries = parse(send(m_entries[number].callers, "GET", "/v1/entries", {}).body)->getArray("entries");
        for (std::size_t n = 0; n < entries->size(); ++n) {
            const auto it = entries->getObject(static_cast<unsigned>(n));
            if (it->getValue<std::string>("instance") == "e" + std::to_string(number)) {
                scope = it->getValue<std::string>("keyScope");
            }
        }
        return !scope.empty();
    }));
    return scope;
}

HttpAnswer Cluster::call(std::size_t number, const std::string &method, const std::string &path, const Fields &fields, int deadlineMs)
{
    Fields all { { "Galenabarrow-Customer", "abyssinia" }, { "Galenabarrow-Deadline-Ms", std::to_string(deadlineMs) } };
    all.insert(all.end(), fields.begin(), fields.end());
    return send(m_entries[number].callers, method, "/s/orders" + path, all);
}

HttpAnswer Cluster::action(std::size_t number, const std::string &key, const Fields &fields, int deadlineMs)
{
    Fields all = fields;
    all.emplace_back("Galenabarrow-Action-Key", key);
    return call(number, "POST", "/orders", all, deadlineMs);
}

HttpAnswer Cluster::operatorRequest(std::size_t number, const std::string &method, const std::string &path, const Fields &fields,
                                    const std::string &body)
{
    Fields all = fields;
    all.emplace_back("Authorization", "Bearer " + Token);
    return send(m_entries[number].operators, method, path, all, body);
}

std::uint64_t Cluster::executions(const std::string &key) const
{
    const std::map<std::string, std::uint64_t> all = allExecutions();
    const auto it = all.find(key);
    return it == all.end() ? 0 : it->second;
}

std::map<std::string, std::uint64_t> Cluster::allExecutions() const
{
    std::map<std::string, std::uint64_t> all;
    for (const std::string &body : counts()) {
        const Poco::JSON::Object::Ptr executions = parse(body)->getObject("executions");
        for (const auto &[key, count] : *executions) {
            all[key] += count.convert<std::uint64_t>();
        }
    }
    return all;
}

std::uint64_t Cluster::totalExecutions() const
{
    std::uint64_t sum = 0;
    for (const std::string &body : counts()) {
        sum += parse(body)->getValue<std::uint64_t>("total");
    }
    return sum;
}

std::vector<std::string> Cluster::counts() const
{
    std::vector<std::string> bodies;
    for (const auto &it : m_servers) {
        const HttpAnswer answer = send(it->value("address"), "GET", "/standin/counts", {});
        REQUIRE(answer.status == 200);
        bodies.push_back(answer.body);
    }
    return bodies;
}

void Cluster::setBehaviour(const std::string &behaviour, int milliseconds, int permille) const
{
    const std::string body = "{\"behaviour\":\"" + behaviour + "\",\"milliseconds\":" + std::to_string(milliseconds)
        + ",\"permille\":" + std::to_string(permille) + "}";
    for (const auto &it : m_servers) {
        REQUIRE(send(it->value("address"), "POST", "/standin/control", {}, body).status == 200);
    }
}

}

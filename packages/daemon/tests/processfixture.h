#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <Poco/Pipe.h>
#include <Poco/Process.h>
#include <Poco/TemporaryFile.h>

#include "teststand/relay.h"

namespace Galenabarrow::Daemon::Test
{

using Fields = std::vector<std::pair<std::string, std::string>>;

/// Polls until \p condition holds; false after a minute.
bool waitUntil(const std::function<bool()> &condition);

struct HttpAnswer {
    /// 0 when there was no complete response.
    int status = 0;
    std::string outcome;
    int code = -1;
    std::string body;
};

/// One request over its own connection.
HttpAnswer send(const std::string &address, const std::string &method, const std::string &path, const Fields &fields,
                const std::string &body = {});
/// Writes \p bytes to a connection, ends the sending side when \p endOfStream is set, and returns all bytes received.
std::string sendRaw(const std::string &address, const std::string &bytes, bool endOfStream);

/// A program that a test started. The destructor kills it by its id.
class Child
{
public:
    Child(const std::string &program, const std::vector<std::string> &arguments);
    ~Child();
    Child(const Child &) = delete;
    Child &operator=(const Child &) = delete;

    /// The value of \p name in the first line of its output.
    std::string value(const std::string &name) const;
    /// After SIGSTOP, returns when all threads have stopped.
    void signal(int number) const;
    /// Waits for its end and returns the exit code.
    int wait();
    bool isRunning() const;

private:
    Poco::Pipe m_output;
    std::unique_ptr<Poco::ProcessHandle> m_handle;
    std::string m_firstLine;
    bool m_waited = false;
};

struct Entry {
    std::unique_ptr<Child> process;
    std::string callers;
    std::string operators;
};

/// Options of a test cluster.
struct ClusterOptions {
    /// The age of the contracts at which an entry is fenced.
    int freshnessLimitMs = 1000;
    /// Added to the settings file of each entry.
    std::string extraSettings {};
    /// All traffic between the last entry and its peers passes through Cluster::relayToLast(), and its requests to
    /// control pass through Cluster::relayToControl().
    bool isRelayed = false;
    /// The longest time of a graceful stop.
    int drainSeconds = 60;
};

/// Entries on loopback, the first of which is also the only control instance, and a contract for customer "abyssinia" and
/// service "orders", whose idempotent path is /stock.
class Cluster
{
public:
    explicit Cluster(std::size_t entryCount, ClusterOptions options = {});

    Entry &entry(std::size_t number);
    Teststand::Relay &relayToLast();
    Teststand::Relay &relayToControl();
    std::vector<std::string> callerAddresses() const;
    /// Starts a stand-in server that announces itself to the first entry, and waits until all entries know it.
    Child &startServer(const std::vector<std::string> &arguments = {});
    /// The scope for action keys of an entry.
    std::string keyScope(std::size_t number);
    /// Calls service "orders" at an entry.
    HttpAnswer call(std::size_t number, const std::string &method, const std::string &path, const Fields &fields = {},
                    int deadlineMs = 5000);
    HttpAnswer action(std::size_t number, const std::string &key, const Fields &fields = {}, int deadlineMs = 5000);
    /// A request to the operators' interface of an entry.
    HttpAnswer operatorRequest(std::size_t number, const std::string &method, const std::string &path, const Fields &fields = {},
                               const std::string &body = {});
    /// How often the servers ran \p key.
    std::uint64_t executions(const std::string &key) const;
    std::map<std::string, std::uint64_t> allExecutions() const;
    std::uint64_t totalExecutions() const;
    /// Sets the behaviour of all servers.
    void setBehaviour(const std::string &behaviour, int milliseconds = 0, int permille = 1000) const;

private:
    void startEntry(std::size_t number);
    bool isServing(std::size_t number);
    std::vector<std::string> counts() const;

    Poco::TemporaryFile m_folder;
    ClusterOptions m_options;
    std::string m_controlAddress;
    std::size_t m_entryCount;
    std::unique_ptr<Teststand::Relay> m_relayToLast;
    std::unique_ptr<Teststand::Relay> m_relayToControl;
    std::vector<Entry> m_entries;
    std::vector<std::unique_ptr<Child>> m_servers;
};

}

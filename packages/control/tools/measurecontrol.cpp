#include <ctime>
#include <deque>
#include <filesystem>
#include <iomanip>
#include <iostream>

#include <gflags/gflags.h>

#include "base/random.h"
#include "control/controlservice.h"
#include "control/disklogstore.h"
#include "wire/frame.h"

DEFINE_string(folder, "", "folder for the data folders; a new one below the system's temporary folder when empty");
DEFINE_uint32(changes, 2000, "accepted changes to measure with 5 replicas");
DEFINE_uint32(seconds, 60, "idle time to measure with 5 replicas, on the clock of the replicas");

namespace
{

using namespace Galenabarrow;
using namespace Galenabarrow::Control;

constexpr Duration TickLength = std::chrono::milliseconds(20);
constexpr std::size_t ReplicaCount = 5;

/// CPU time of the calling thread in microseconds.
double cpuMicroseconds()
{
    timespec time {};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) * 1e6 + static_cast<double>(time.tv_nsec) / 1e3;
}

/// Replicas with data folders in this process; messages are delivered without delay. Only calls to the replicas are timed.
class Cluster
{
public:
    Cluster(std::filesystem::path folder, std::size_t count)
        : m_folder(std::move(folder))
    {
        for (std::size_t n = 1; n <= count; ++n) {
            const std::string name = "c" + std::to_string(n);
            m_peers.push_back(ControlPeer { InstanceId(name), name });
        }
    }

    void start()
    {
        for (const ControlPeer &peer : m_peers) {
            ControlSettings settings;
            settings.instance = peer.instance;
            settings.peers = m_peers;
            settings.bootstrap = true;
            auto store = std::make_unique<DiskLogStore>(m_folder / peer.address);
            auto service = ControlService::open(settings, std::move(store), m_random, m_now);
            if (!service) {
                throw std::runtime_error(service.error().detail);
            }
            m_services[peer.address] = std::move(*service);
        }
    }
    void stop()
    {
        m_services.clear();
    }

    void tick()
    {
        m_now += TickLength;
        for (auto &[name, service] : m_services) {
            timed([&, it = service.get()] { it->tick(m_now); });
        }
        deliverMessages();
    }
    /// Ticks until the cluster is complete and has a confirmed leader.
    ControlService &awaitLeader()
    {
        while (true) {
            for (auto &[name, service] : m_services) {
                if (service->isConfirmedLeader(m_now) && service->status(m_now).isFormed) {
                    return *service;
                }
            }
            tick();
        }
    }
    void propose(ControlService &leader, std::uint64_t number)
    {
        ContractChange change;
        change.id = ChangeId("change-" + std::to_string(number));
        change.customer = CustomerId("customer-" + std::to_string(number % CustomerCount));
        change.expected = Version(number / CustomerCount);
        change.contract.customer = change.customer;
        change.contract.services = { ServiceTerms { ServiceId("orders"), { "/prices", "/stock" }, std::chrono::seconds(2), 50, 100 } };
        change.contract.ratePerSecond = static_cast<std::uint32_t>(number);
        timed([&] { leader.propose(change, m_now); });
        deliverMessages();
        for (const FinishedProposal &it : leader.takeFinished()) {
            m_accepted += it.result.code == ResultCode::Ok ? 1 : 0;
        }
    }

    double cpu() const
    {
        return m_cpu;
    }
    std::uint64_t bytes() const
    {
        return m_bytes;
    }
    /// The largest number of bytes that one replica has sent.
    std::uint64_t largestSent() const
    {
        std::uint64_t largest = 0;
        for (const auto &[name, size] : m_sent) {
            largest = std::max(largest, size);
        }
        return largest;
    }
    std::uint64_t accepted() const
    {
        return m_accepted;
    }

private:
    static constexpr std::uint64_t CustomerCount = 200;

    template<typename Function>
    void timed(Function function)
    {
        const double before = cpuMicroseconds();
        function();
        m_cpu += cpuMicroseconds() - before;
    }

    void deliverMessages()
    {
        std::deque<std::pair<std::string, Wire::Envelope>> queue;
        do {
            for (auto &[name, service] : m_services) {
                std::vector<Outgoing> outgoing;
                timed([&, it = service.get()] { outgoing = it->takeOutgoing(); });
                for (Outgoing &message : outgoing) {
                    Wire::Envelope envelope { InstanceId(name), name, Incarnation(1), message.correlation, message.kind, message.payload };
                    const std::size_t size = Wire::encode(envelope).size() + Wire::FrameHeaderSize;
                    m_bytes += size;
                    m_sent[name] += size;
                    queue.emplace_back(message.address, std::move(envelope));
                }
            }
            const auto arriving = std::exchange(queue, {});
            for (const auto &message : arriving) {
                timed([&] { (void)m_services.at(message.first)->receive(message.second, m_now); });
            }
            if (arriving.empty()) {
                return;
            }
        } while (true);
    }

    std::filesystem::path m_folder;
    std::vector<ControlPeer> m_peers;
    SeededRandom m_random { 1 };
    Instant m_now {};
    std::map<std::string, std::unique_ptr<ControlService>> m_services;
    double m_cpu = 0;
    std::uint64_t m_bytes = 0;
    std::map<std::string, std::uint64_t> m_sent;
    std::uint64_t m_accepted = 0;
};

std::uint64_t sizeOf(const std::filesystem::path &folder)
{
    std::uint64_t size = 0;
    for (const auto &file : std::filesystem::recursive_directory_iterator(folder)) {
        size += file.is_regular_file() ? file.file_size() : 0;
    }
    return size;
}

/// Measures the restart of a cluster of one replica, which sends no messages: it opens its folder, elects itself and applies its
/// log.
void measureRestart(const std::filesystem::path &folder, std::uint64_t changes)
{
    Cluster cluster(folder, 1);
    cluster.start();
    ControlService &leader = cluster.awaitLeader();
    for (std::uint64_t n = 0; n < changes; ++n) {
        cluster.propose(leader, n);
    }
    cluster.stop();
    const std::uint64_t size = sizeOf(folder);
    const auto before = std::chrono::steady_clock::now();
    cluster.start();
    cluster.awaitLeader();
    const std::chrono::duration<double, std::milli> elapsed = std::chrono::steady_clock::now() - before;
    std::cout << std::setw(10) << changes << std::setw(10) << cluster.accepted() << std::setw(14) << size << std::setw(14)
              << std::setprecision(2) << std::fixed << elapsed.count() << "\n";
}

void measureCluster(const std::filesystem::path &folder)
{
    Cluster cluster(folder, ReplicaCount);
    cluster.start();
    ControlService &leader = cluster.awaitLeader();
    const double idleCpu = cluster.cpu();
    const std::uint64_t idleBytes = cluster.bytes();
    const std::uint64_t leaderBytes = cluster.largestSent();
    const auto ticks = static_cast<std::uint64_t>(std::chrono::seconds(FLAGS_seconds) / TickLength);
    for (std::uint64_t n = 0; n < ticks; ++n) {
        cluster.tick();
    }
    const double replicaTicks = static_cast<double>(ticks) * ReplicaCount;
    std::cout << "\n5 replicas, idle for " << FLAGS_seconds << " s, ticks of " << TickLength.count() / 1000 << " ms\n";
    std::cout << "CPU time per replica and tick: " << (cluster.cpu() - idleCpu) / replicaTicks << " us\n";
    std::cout << "bytes sent per replica and second: "
              << static_cast<double>(cluster.bytes() - idleBytes) / (ReplicaCount * static_cast<double>(FLAGS_seconds)) << "\n";
    std::cout << "bytes sent by the leader per second: " << (cluster.largestSent() - leaderBytes) / FLAGS_seconds << "\n";

    const double cpu = cluster.cpu();
    const std::uint64_t bytes = cluster.bytes();
    for (std::uint64_t n = 0; n < FLAGS_changes; ++n) {
        cluster.propose(leader, n);
    }
    std::cout << "\n5 replicas, " << cluster.accepted() << " of " << FLAGS_changes << " changes accepted, one at a time\n";
    std::cout << "CPU time per change, all replicas: " << (cluster.cpu() - cpu) / FLAGS_changes << " us\n";
    std::cout << "bytes sent per change, all replicas: " << (cluster.bytes() - bytes) / FLAGS_changes << "\n";
}

}

int main(int argc, char **argv)
{
    gflags::SetUsageMessage("prints the cost of control: restarts, idle replicas and accepted changes");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const std::string name = "measure-control-" + std::to_string(makeIncarnation().value());
    const std::filesystem::path folder =
        (FLAGS_folder.empty() ? std::filesystem::temp_directory_path() : std::filesystem::path(FLAGS_folder)) / name;
    std::cout << "restart of a replica\n   changes  accepted  bytes on disk  time in ms\n";
    for (const std::uint64_t changes : { 100, 300, 1000, 3000, 10000 }) {
        measureRestart(folder / std::to_string(changes), changes);
    }
    measureCluster(folder / "cluster");
    std::filesystem::remove_all(folder);
    return 0;
}

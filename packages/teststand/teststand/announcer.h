#pragma once

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace Galenabarrow::Teststand
{

/// The state that a stand-in server announces to an entry.
struct Announcement {
    std::string server;
    std::string service;
    std::string address;
    std::string dataCentre;
    std::uint64_t incarnation = 0;
    std::uint32_t slots = 0;
    std::uint32_t inFlight = 0;
    bool leaving = false;
    bool coldStart = false;
};

/// Announces a server periodically to one entry, and switches to the next entry when that one does not accept an announcement.
class Announcer
{
public:
    using Source = std::function<Announcement()>;

    Announcer(std::vector<std::string> entries, std::uint32_t intervalMs, Source source);
    ~Announcer();
    Announcer(const Announcer &) = delete;
    Announcer &operator=(const Announcer &) = delete;

    /// Sends the next announcement without waiting for the interval.
    void announceNow();
    /// Number of announcements that entries have accepted.
    std::uint64_t accepted() const;

private:
    void run();
    bool announce();

    std::vector<std::string> m_entries;
    std::uint32_t m_intervalMs;
    Source m_source;
    std::size_t m_current = 0;
    std::uint64_t m_sequence = 0;
    std::atomic<std::uint64_t> m_accepted { 0 };
    std::mutex m_mutex;
    std::condition_variable m_wake;
    bool m_stopping = false;
    bool m_announceNow = false;
    std::thread m_thread;
};

}

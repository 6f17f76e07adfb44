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

/// What a stand-in server says about itself.
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

/// Announces a server to one entry at a time, and to the next one when that entry does not answer.
class Announcer
{
public:
    using Source = std::function<Announcement()>;

    Announcer(std::vector<std::string> entries, std::uint32_t intervalMs, Source source);
    ~Announcer();
    Announcer(const Announcer &) = delete;
    Announcer &operator=(const Announcer &) = delete;

    /// Announces at once.
    void announceNow();
    /// Announcements that an entry has accepted.
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

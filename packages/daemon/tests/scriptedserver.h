#pragma once

#include <atomic>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

namespace Galenabarrow::Daemon::Test
{

/// Accepts connections one after the other. For each request that it reads, it writes the next reply of its script.
class ScriptedServer
{
public:
    enum class AfterReply : unsigned char { KeepOpen, Close, Reset };
    struct Step {
        std::string reply;
        AfterReply afterReply = AfterReply::KeepOpen;
    };

    explicit ScriptedServer(std::vector<Step> script)
        : m_script(std::move(script))
        , m_socket(Poco::Net::SocketAddress("127.0.0.1:0"))
        , m_thread([this] { run(); })
    {
    }

    ~ScriptedServer()
    {
        m_stopping = true;
        m_thread.join();
    }

    ScriptedServer(const ScriptedServer &) = delete;
    ScriptedServer &operator=(const ScriptedServer &) = delete;

    std::string address() const
    {
        return m_socket.address().toString();
    }

    int connections() const
    {
        return m_connections;
    }

    int requests() const
    {
        return m_requests;
    }

private:
    void run()
    {
        std::vector<Poco::Net::StreamSocket> open;
        while (!m_stopping) {
            if (m_socket.poll(Poco::Timespan(0, 10'000), Poco::Net::Socket::SELECT_READ)) {
                open.push_back(m_socket.acceptConnection());
                ++m_connections;
            }
            for (auto &it : open) {
                if (it.impl()->initialized() && it.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ)) {
                    serve(it);
                }
            }
        }
    }

    void serve(Poco::Net::StreamSocket &socket)
    {
        std::string head;
        char buf[4096];
        while (head.find("\r\n\r\n") == std::string::npos) {
            const int n = socket.receiveBytes(buf, sizeof buf);
            if (n <= 0) {
                socket.close();
                return;
            }
            head.append(buf, static_cast<std::size_t>(n));
        }
        const int number = m_requests++;
        if (number >= static_cast<int>(m_script.size())) {
            return;
        }
        const Step &step = m_script[static_cast<std::size_t>(number)];
        socket.sendBytes(step.reply.data(), static_cast<int>(step.reply.size()));
        if (step.afterReply == AfterReply::Reset) {
            socket.setLinger(true, 0);
        }
        if (step.afterReply != AfterReply::KeepOpen) {
            socket.close();
        }
    }

    std::vector<Step> m_script;
    Poco::Net::ServerSocket m_socket;
    std::atomic<int> m_connections { 0 };
    std::atomic<int> m_requests { 0 };
    std::atomic<bool> m_stopping { false };
    std::thread m_thread;
};

}

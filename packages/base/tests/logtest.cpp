#include "base/log.h"

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <regex>
#include <string>

#include <unistd.h>

#include <catch2/catch.hpp>

using namespace Galenabarrow;

namespace
{

/// Redirects standard error to a file until text() is called or the object is destroyed.
class CapturedStderr
{
public:
    CapturedStderr()
        : m_path(std::filesystem::temp_directory_path() / ("galenabarrow-log-" + std::to_string(::getpid())))
        , m_saved(::dup(STDERR_FILENO))
    {
        std::fflush(stderr);
        FILE *file = std::fopen(m_path.c_str(), "w");
        REQUIRE(file != nullptr);
        ::dup2(::fileno(file), STDERR_FILENO);
        std::fclose(file);
    }

    ~CapturedStderr()
    {
        restore();
        std::filesystem::remove(m_path);
    }

    /// Restores standard error and returns the first captured line.
    std::string text()
    {
        restore();
        std::ifstream file(m_path);
        std::string line;
        std::getline(file, line);
        return line;
    }

private:
    void restore()
    {
        if (m_saved < 0) {
            return;
        }
        std::fflush(stderr);
        ::dup2(m_saved, STDERR_FILENO);
        ::close(m_saved);
        m_saved = -1;
    }

    std::filesystem::path m_path;
    int m_saved;
};

}

// Guards against lines that a log parser cannot read: an earlier layout wrote quotation marks into the time, and values may
// contain spaces and quotation marks.
TEST_CASE("a log line consists of key=value pairs with an ISO 8601 time", "[log]")
{
    CapturedStderr captured;
    Log::configure("info");
    Log("test").info("state changed", { { "customer", "abyssinia" }, { "detail", "a \"b\"" } });
    const std::string line = captured.text();
    const std::regex form(R"(time=\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{3}Z level=INFO component=test )"
                          R"(event="state changed" customer=abyssinia detail="a \\"b\\"")");
    INFO(line);
    REQUIRE(std::regex_match(line, form));
}

#include <csignal>
#include <iostream>

#include <gflags/gflags.h>

#include "base/log.h"
#include "base/processsignals.h"
#include "daemon/daemon.h"
#include "platform/node.h"
#include "settings/loader.h"

DEFINE_string(settings, "", "settings file of this instance");
DEFINE_bool(platform, false, "run the instance that the settings file of the hosting platform describes");
DEFINE_bool(check, false, "check the settings and exit");

namespace
{

using namespace Galenabarrow;

constexpr int ExitFailure = 1;
constexpr int ExitUsage = 2;
constexpr time_t FailureCheckSeconds = 1;

int fail(const Error &error, int status)
{
    std::cerr << "galenabarrowd: " << static_cast<int>(error.code) << " " << resultCodeName(error.code) << ": " << error.detail << "\n";
    return status;
}

int run(const Settings::DaemonSettings &settings, const sigset_t &signals)
{
    Daemon::Daemon daemon(settings);
    if (const Result<void> started = daemon.start(); !started) {
        return fail(started.error(), ExitFailure);
    }
    std::cout << daemon.addresses() << std::endl;
    const timespec interval { FailureCheckSeconds, 0 };
    int signal = 0;
    while (signal != SIGTERM && signal != SIGINT) {
        signal = sigtimedwait(&signals, nullptr, &interval);
        if (signal == SIGHUP) {
            Log("daemon").info("signal_ignored", { { "signal", "SIGHUP" }, { "reason", "settings are read at the start only" } });
        } else if (signal < 0 && daemon.hasFailed()) {
            return ExitFailure;
        }
    }
    daemon.stopGracefully();
    return 0;
}

}

int main(int argc, char **argv)
{
    const sigset_t signals = blockSignals();
    gflags::SetUsageMessage("runs one instance of galenabarrow\n  galenabarrowd --settings <file> [--check]\n  galenabarrowd --platform");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (FLAGS_platform && FLAGS_settings.empty() && argc == 1) {
        return Platform::runNode();
    }
    if (FLAGS_settings.empty() || argc > 1) {
        return fail(Error { ResultCode::UsageError, "needs --settings <file> and nothing else" }, ExitUsage);
    }
    const Result<Settings::DaemonSettings> settings = Settings::loadSettings(FLAGS_settings);
    if (!settings) {
        return fail(settings.error(), ExitUsage);
    }
    if (FLAGS_check) {
        std::cout << "settings are valid\n";
        return 0;
    }
    Log::configure(settings->log.threshold);
    return run(*settings, signals);
}

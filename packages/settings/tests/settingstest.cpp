#include "settings/loader.h"
#include "settings/secretfile.h"

#include <filesystem>
#include <fstream>

#include <unistd.h>

#include <catch2/catch.hpp>

using namespace Galenabarrow;
using namespace Galenabarrow::Settings;
using namespace std::chrono_literals;

namespace
{

const std::string ValidText = R"([instance]
id = "c1"
data_centre = "north"
roles = ["entry", "control"]
[cluster]
id = "test"
key_file = "k"
[listen]
callers = "127.0.0.1:0"
operators = "127.0.0.1:0"
peers = "127.0.0.1:0"
[operators]
token_file = "t"
[control]
data_folder = "d"
[[control.replicas]]
instance = "c1"
data_centre = "north"
peer_address = "127.0.0.1:4001"
)";

std::string eraseLine(const std::string &line)
{
    std::string text = ValidText;
    const std::size_t at = text.find(line + "\n");
    REQUIRE(at != std::string::npos);
    return text.erase(at, line.size());
}

std::string replaceLine(const std::string &line, const std::string &replacement)
{
    std::string text = ValidText;
    const std::size_t at = text.find(line + "\n");
    REQUIRE(at != std::string::npos);
    return text.replace(at, line.size(), replacement);
}

struct BadFile {
    std::string text;
    std::string detail;
};

/// A folder for the files of one test, removed at its end.
class TestFolder
{
public:
    TestFolder()
        : m_path(std::filesystem::temp_directory_path() / ("galenabarrow-settings-" + std::to_string(::getpid())))
    {
        std::filesystem::create_directories(m_path);
    }
    ~TestFolder()
    {
        std::error_code ec;
        std::filesystem::remove_all(m_path, ec);
    }
    TestFolder(const TestFolder &) = delete;
    TestFolder &operator=(const TestFolder &) = delete;

    std::string write(const std::string &name, const std::string &text) const
    {
        std::ofstream(m_path / name) << text;
        return (m_path / name).string();
    }

    const std::filesystem::path &path() const
    {
        return m_path;
    }

private:
    std::filesystem::path m_path;
};

}

// Guards against a key whose value is stored in another field.
TEST_CASE("every key is stored in its field", "[settings]")
{
    const std::string text = replaceLine("key_file = \"k\"", "key_file = \"kéy#'\" # é") + R"([timings]
election_timeout_ms = 900
heartbeat_ms = 200
freshness_limit_ms = 3000
directory_max_age_s = 7
server_lease_ms = 6000
drain_s = 30
[limits]
header_bytes = 2048
body_bytes = 4096
connections = 9
queue_size = 11
[measuring]
budget_permille = 2.5
probe_deadline_ms = 15
[contracts]
serve_when_stale = true
[routing]
strategy = "round-robin"
exchange_waits = false
[log]
threshold = "warn"
)";
    const Result<DaemonSettings> settings = parseSettings(text, "s");
    INFO((settings ? "" : settings.error().detail));
    REQUIRE(settings);
    REQUIRE(settings->instance.id == InstanceId("c1"));
    REQUIRE(settings->cluster.keyFile == "kéy#'");
    REQUIRE(settings->instance.dataCentre == DataCentreId("north"));
    REQUIRE(settings->instance.isEntry);
    REQUIRE(settings->instance.isControl);
    REQUIRE(settings->cluster.id == "test");
    REQUIRE(settings->operatorsTokenFile == "t");
    REQUIRE(settings->control.replicas == std::vector<ReplicaSettings> { { InstanceId("c1"), DataCentreId("north"), "127.0.0.1:4001" } });
    REQUIRE(settings->timings.electionTimeout == 900ms);
    REQUIRE(settings->timings.heartbeat == 200ms);
    REQUIRE(settings->timings.freshnessLimit == 3s);
    REQUIRE(settings->timings.directoryMaxAge == 7s);
    REQUIRE(settings->timings.serverLease == 6s);
    REQUIRE(settings->timings.drain == 30s);
    REQUIRE(settings->limits.headerBytes == 2048);
    REQUIRE(settings->limits.bodyBytes == 4096);
    REQUIRE(settings->limits.connections == 9);
    REQUIRE(settings->limits.queueSize == 11);
    REQUIRE(settings->measuring.budgetPermille == 2.5);
    REQUIRE(settings->measuring.probeDeadline == 15ms);
    REQUIRE(settings->contracts.serveWhenStale);
    REQUIRE(settings->routing.strategy == "round-robin");
    REQUIRE_FALSE(settings->routing.exchangeWaits);
    REQUIRE(settings->log.threshold == "warn");
}

// Guards against a mistake in a file that silently leaves a default in force, and against a message without line and key.
TEST_CASE("a file with a fault is refused with line and key", "[settings]")
{
    const std::string name = "expected 1 to 64 letters, digits, '.', '_' or '-', found ";
    const BadFile cases[] = {
        { ValidText + "[timing]\nheartbeat_ms = 1\n", "s:21: timing.heartbeat_ms: is not a setting" },
        { ValidText + "\"instance.id\" = 1\n", "s:20: control.replicas[0].\"instance.id\": is not a setting" },
        { ValidText + "[x]\n", "s:20: x: is not a setting" },
        { ValidText + "[limits]\nqueue_size = 0\n", "s:21: limits.queue_size: expected integer, 1 to 65536, found 0" },
        { ValidText + "[limits]\nqueue_size = 1.5\n", "s:21: limits.queue_size: expected integer, 1 to 65536, found 1.5" },
        { ValidText + "[limits]\nqueue_size = \"9\"\n", "s:21: limits.queue_size: expected integer, 1 to 65536, found \"9\"" },
        { ValidText + "[limits]\nqueue_size = 1979-05-27\n",
          "s:21: limits.queue_size: expected integer, 1 to 65536, found a value of type date" },
        { ValidText + "[measuring]\nbudget_permille = nan\n", "s:21: measuring.budget_permille: expected number, 0 to 100, found nan" },
        { ValidText + "[measuring]\nprobe_deadline_ms = 1\n", "s:21: measuring.probe_deadline_ms: expected integer, 2 to 1000, found 1" },
        { ValidText + "[measuring]\nprobe_deadline_ms = 1001\n",
          "s:21: measuring.probe_deadline_ms: expected integer, 2 to 1000, found 1001" },
        { ValidText + "[contracts]\nserve_when_stale = 1\n", "s:21: contracts.serve_when_stale: expected true or false, found 1" },
        { ValidText + "[log]\nthreshold = \"loud\"\n", "s:21: log.threshold: expected one of debug, info, warn, error, found \"loud\"" },
        { ValidText + "[timings]\nheartbeat_ms = 501\n",
          "s: timings.heartbeat_ms: has to be at most a third of timings.election_timeout_ms" },
        { ValidText + "[timings]\nfreshness_limit_ms = 1000\n",
          "s: timings.freshness_limit_ms: has to be more than timings.election_timeout_ms" },
        { ValidText + "[timings]\ndrain_s = 5\n", "s: timings.drain_s: has to be at least timings.directory_max_age_s" },
        { ValidText + "[[control.replicas]]\n", "s:20: control.replicas[1]: is empty" },
        { ValidText + "[[control.replicas]]\ninstance = \"c1\"\n",
          "s: control.replicas[1].data_centre: is required\ns: control.replicas[1].peer_address: is required\n"
          "s: control.replicas: expected 1, 3, 5 or 7 replicas, found 2\ns: control.replicas: names the instance c1 twice" },
        { replaceLine("id = \"c1\"", "id = \"c 1\""), "s:2: instance.id: " + name + "\"c 1\"" },
        { eraseLine("data_centre = \"north\""), "s: instance.data_centre: is required" },
        { replaceLine("roles = [\"entry\", \"control\"]", "roles = []"),
          "s: instance.roles: needs at least one role\ns: listen.callers: is only for the role entry\ns: control.data_folder: is only for "
          "the role control" },
        { replaceLine("roles = [\"entry\", \"control\"]", "roles = [\"entry\"]"), "s: control.data_folder: is only for the role control" },
        { replaceLine("roles = [\"entry\", \"control\"]", "roles = [\"control\"]"), "s: listen.callers: is only for the role entry" },
        { eraseLine("callers = \"127.0.0.1:0\""), "s: listen.callers: is required for the role entry" },
        { eraseLine("data_folder = \"d\""), "s: control.data_folder: is required for the role control" },
        { replaceLine("callers = \"127.0.0.1:0\"", "callers = \"0.0.0.0:0\""),
          "s: advertise.callers: is required, because listen.callers names no single address" },
        { replaceLine("callers = \"127.0.0.1:0\"", "callers = \"localhost:80\""),
          "s:9: listen.callers: expected IP address:port, port 0 lets the system choose, found \"localhost:80\"" },
        { replaceLine("callers = \"127.0.0.1:0\"", "callers = \"127.0.0.1:65536\""),
          "s:9: listen.callers: expected IP address:port, port 0 lets the system choose, found \"127.0.0.1:65536\"" },
        { replaceLine("peer_address = \"127.0.0.1:4001\"", "peer_address = \"127.0.0.1:0\""),
          "s:19: control.replicas[0].peer_address: expected IP address:port, found \"127.0.0.1:0\"" },
        { replaceLine("callers = \"127.0.0.1:0\"", "callers = \"[::1]:80\"\nannouncements = \"[::1]:80\""),
          "s: listen.announcements: is the address [::1]:80 of another listener" },
        { replaceLine("data_folder = \"d\"", "data_folder = \"d\"\nbootstrap = true") + "[instance]\n",
          "s:21: Error while parsing table header: cannot redefine existing table 'instance'" },
        // toml++ 3.3 aborts the process on this header unless its assertions are caught.
        { replaceLine("[operators]", "[{operators]"), "s:12: the line is not TOML" },
        // toml++ 3.3 has undefined behaviour on a character other than ASCII where it expects white space.
        { replaceLine("[operators]", "[operators] é"), "s:12: a character other than ASCII is allowed in comments and strings only" },
        { ValidText + "x = '''\n'''\n", "s:20: multi-line strings are not allowed\ns:21: multi-line strings are not allowed" },
        { ValidText + "[{limits]", "s:20: the line is not TOML" },
        { ValidText + "limits = 3\n", "s:20: control.replicas[0].limits: is not a setting" },
        { "limits = 3\n" + ValidText, "s:1: limits: expected a table, found 3" },
    };
    for (const BadFile &it : cases) {
        INFO(it.text);
        const Result<DaemonSettings> settings = parseSettings(it.text, "s");
        REQUIRE_FALSE(settings);
        REQUIRE(settings.error().code == ResultCode::SettingsInvalid);
        REQUIRE(settings.error().detail == it.detail);
    }
}

// Guards against reporting only the first fault, so that an operator has to start the daemon once per fault.
TEST_CASE("all faults of a file are reported at once", "[settings]")
{
    const Result<DaemonSettings> settings = parseSettings("[limits]\nqueue_size = 0\nconnections = -1\n[nowhere]\na = 1\n", "s");
    REQUIRE_FALSE(settings);
    for (const char *it : { "s:2: limits.queue_size: ", "s:3: limits.connections: ", "s:5: nowhere.a: ", "instance.id: is required",
                            "control.replicas: expected 1, 3, 5 or 7 replicas, found 0" }) {
        REQUIRE_THAT(settings.error().detail, Catch::Matchers::Contains(it));
    }
}

// Guards against a bootstrap of a cluster that this instance does not belong to.
TEST_CASE("bootstrap needs this instance among the replicas", "[settings]")
{
    std::string text = replaceLine("data_folder = \"d\"", "data_folder = \"d\"\nbootstrap = true");
    REQUIRE(parseSettings(text, "s"));
    text = text.replace(text.find("id = \"c1\""), 9, "id = \"c9\"");
    REQUIRE(parseSettings(text, "s").error().detail == "s: control.bootstrap: needs this instance to be one of control.replicas");
}

// Guards against read errors that are not reported, and against relative file names that are resolved from the working
// folder of the process instead of the folder of the settings file.
TEST_CASE("a settings file is read from disk", "[settings]")
{
    const TestFolder folder;
    const Result<DaemonSettings> settings = loadSettings(folder.write("good.toml", ValidText));
    REQUIRE(settings);
    REQUIRE(settings->control.dataFolder == (folder.path() / "d").string());
    REQUIRE(loadSettings((folder.path() / "none.toml").string()).error().code == ResultCode::SettingsUnreadable);
    REQUIRE(loadSettings(folder.path().string()).error().code == ResultCode::SettingsUnreadable);
    REQUIRE(loadSettings(folder.write("large.toml", std::string(MaxSettingsBytes + 1, '#'))).error().code == ResultCode::SettingsInvalid);
}

// Guards against secrets short enough to be guessed, and against white space that becomes part of a secret.
TEST_CASE("a secret file is read without the white space around it", "[settings]")
{
    const TestFolder folder;
    REQUIRE(readSecretFile(folder.write("good", " 0123456789abcdef\n")).value() == "0123456789abcdef");
    REQUIRE(readSecretFile(folder.write("short", "0123456789abcde\n")).error().code == ResultCode::SettingsInvalid);
    REQUIRE(readSecretFile(folder.write("empty", "")).error().code == ResultCode::SettingsInvalid);
    REQUIRE(readSecretFile(folder.write("long", std::string(MaxSecretBytes + 1, 'a'))).error().code == ResultCode::SettingsInvalid);
    REQUIRE(readSecretFile(folder.write("split", "0123456789 abcdef")).error().code == ResultCode::SettingsInvalid);
    REQUIRE(readSecretFile((folder.path() / "none").string()).error().code == ResultCode::SettingsUnreadable);
    REQUIRE(readSecretFile(folder.path().string()).error().code == ResultCode::SettingsUnreadable);
}

// Guards against examples that the loader no longer accepts.
TEST_CASE("the examples load", "[settings]")
{
    for (const char *it : { "abyssinia/entry", "abyssinia/control", "odalaigh/entry", "odalaigh/control" }) {
        const Result<DaemonSettings> settings = loadSettings(std::string(GALENABARROW_SOURCE_DIR) + "/examples/" + it + ".toml");
        INFO(it << ' ' << (settings ? "" : settings.error().detail));
        REQUIRE(settings);
        REQUIRE(settings->control.replicas.size() == 5);
        REQUIRE(settings->instance.isControl == std::string(it).ends_with("control"));
    }
}

// Guards against a setting without its row in the documentation, and a row whose bounds or default no longer hold.
TEST_CASE("docs/operators.md lists exactly the settings of the program", "[settings]")
{
    std::ifstream page(std::string(GALENABARROW_SOURCE_DIR) + "/docs/operators.md");
    REQUIRE(page.is_open());
    std::string documented;
    bool isInTable = false;
    for (std::string line; std::getline(page, line);) {
        isInTable = isInTable || line == "| key | type and bounds | default | meaning |";
        if (isInTable && line.rfind("| `", 0) == 0) {
            documented += line + '\n';
        }
    }
    std::string expected;
    for (const SettingDescription &it : describeSettings()) {
        expected += "| `" + it.key + "` | " + it.type + " | " + it.defaultValue + " | " + it.meaning + " |\n";
    }
    REQUIRE(documented == expected);
}

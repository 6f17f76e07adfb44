#include "settings/loader.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <set>

#include "settings/address.h"
#include "settings/reader.h"

namespace Galenabarrow::Settings
{

namespace
{

constexpr std::size_t MaxReplicas = 7;
constexpr int HeartbeatsPerElectionTimeout = 3;

void checkRoles(const DaemonSettings &settings, const Reader &reader, Faults &faults)
{
    if (reader.isSet("instance.roles") && !faults.has("instance.roles") && !settings.instance.isEntry && !settings.instance.isControl) {
        faults.add(0, "instance.roles", "needs at least one role");
    }
    for (const char *key : { "listen.callers", "listen.announcements", "advertise.callers", "advertise.announcements" }) {
        if (!settings.instance.isEntry && reader.isSet(key)) {
            faults.add(0, key, "is only for the role entry");
        }
    }
    for (const char *key : { "control.data_folder", "control.bootstrap" }) {
        if (!settings.instance.isControl && reader.isSet(key)) {
            faults.add(0, key, "is only for the role control");
        }
    }
}

void checkReplicas(const DaemonSettings &settings, Faults &faults)
{
    const std::vector<ReplicaSettings> &replicas = settings.control.replicas;
    if (replicas.size() % 2 == 0 || replicas.size() > MaxReplicas) {
        faults.add(0, "control.replicas", "expected 1, 3, 5 or 7 replicas, found " + std::to_string(replicas.size()));
    }
    std::set<std::string> instances;
    std::set<std::string> addresses;
    for (const ReplicaSettings &it : replicas) {
        if (!it.instance.value().empty() && !instances.insert(it.instance.value()).second) {
            faults.add(0, "control.replicas", "names the instance " + it.instance.value() + " twice");
        }
        if (!it.peerAddress.empty() && !addresses.insert(it.peerAddress).second) {
            faults.add(0, "control.replicas", "names the address " + it.peerAddress + " twice");
        }
    }
    if (settings.control.bootstrap && !faults.has("instance.id") && !instances.contains(settings.instance.id.value())) {
        faults.add(0, "control.bootstrap", "needs this instance to be one of control.replicas");
    }
}

struct AddressPair {
    const char *listenKey;
    const char *advertiseKey;
    std::string AddressSettings::*field;
};

constexpr AddressPair AddressPairs[] = {
    { "listen.callers", "advertise.callers", &AddressSettings::callers },
    { "listen.operators", "advertise.operators", &AddressSettings::operators },
    { "listen.announcements", "advertise.announcements", &AddressSettings::announcements },
    { "listen.peers", "advertise.peers", &AddressSettings::peers },
};

void checkAddresses(const DaemonSettings &settings, Faults &faults)
{
    std::set<std::string> seen;
    for (const AddressPair &pair : AddressPairs) {
        const std::string &listen = settings.listen.*pair.field;
        if (listen.empty()) {
            continue;
        }
        if (isWildcard(listen) && (settings.advertise.*pair.field).empty() && !faults.has(pair.advertiseKey)) {
            faults.add(0, pair.advertiseKey, std::string("is required, because ") + pair.listenKey + " names no single address");
        }
        if (!listen.ends_with(":0") && !seen.insert(listen).second) {
            faults.add(0, pair.listenKey, "is the address " + listen + " of another listener");
        }
    }
}

void checkTimings(const TimingSettings &timings, Faults &faults)
{
    const bool isElectionTimeoutValid = !faults.has("timings.election_timeout_ms");
    if (isElectionTimeoutValid && !faults.has("timings.heartbeat_ms")
        && timings.heartbeat * HeartbeatsPerElectionTimeout > timings.electionTimeout) {
        // One or two lost heartbeats must not start an election.
        faults.add(0, "timings.heartbeat_ms", "has to be at most a third of timings.election_timeout_ms");
    }
    if (isElectionTimeoutValid && !faults.has("timings.freshness_limit_ms") && timings.freshnessLimit <= timings.electionTimeout) {
        // With a lower limit, each election would fence all entries.
        faults.add(0, "timings.freshness_limit_ms", "has to be more than timings.election_timeout_ms");
    }
    if (!faults.has("timings.directory_max_age_s") && !faults.has("timings.drain_s") && timings.drain < timings.directoryMaxAge) {
        // Callers may use the address of a stopping entry for up to the max-age of their lookup.
        faults.add(0, "timings.drain_s", "has to be at least timings.directory_max_age_s");
    }
}

void resolve(std::string &fileName, const std::filesystem::path &folder)
{
    if (!fileName.empty()) {
        fileName = (folder / fileName).lexically_normal().string();
    }
}

}

Result<DaemonSettings> parseSettings(std::string_view text, std::string_view name)
{
    DaemonSettings settings;
    Faults faults;
    std::vector<Fault> syntaxFaults;
    const std::vector<Assignment> assignments = readToml(text, syntaxFaults);
    if (!syntaxFaults.empty()) {
        faults.add(std::move(syntaxFaults));
        return failure(ResultCode::SettingsInvalid, faults.text(name));
    }

    Reader reader(settings, faults);
    for (const Assignment &it : assignments) {
        reader.read(it);
    }
    reader.checkRequired();
    checkRoles(settings, reader, faults);
    checkReplicas(settings, faults);
    checkAddresses(settings, faults);
    checkTimings(settings.timings, faults);
    if (!faults.isEmpty()) {
        return failure(ResultCode::SettingsInvalid, faults.text(name));
    }
    return settings;
}

Result<DaemonSettings> loadSettings(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    std::string text(MaxSettingsBytes + 1, '\0');
    // Opening a folder succeeds; only the first read fails.
    if (!file || (!file.read(text.data(), static_cast<std::streamsize>(text.size())) && !file.eof())) {
        return failure(ResultCode::SettingsUnreadable, path + ": the settings file cannot be read");
    }
    text.resize(static_cast<std::size_t>(file.gcount()));
    if (text.size() > MaxSettingsBytes) {
        return failure(ResultCode::SettingsInvalid, path + ": is larger than " + std::to_string(MaxSettingsBytes) + " bytes");
    }
    Result<DaemonSettings> settings = parseSettings(text, path);
    if (settings) {
        const std::filesystem::path folder = std::filesystem::path(path).parent_path();
        resolve(settings->cluster.keyFile, folder);
        resolve(settings->operatorsTokenFile, folder);
        resolve(settings->control.dataFolder, folder);
    }
    return settings;
}

std::vector<SettingDescription> describeSettings()
{
    std::vector<SettingDescription> descriptions;
    for (const Rule &rule : rules()) {
        std::string defaultValue = defaultText(rule.body);
        if (rule.requirement == Requirement::Entry) {
            defaultValue = "required for entry";
        } else if (rule.requirement == Requirement::Control) {
            defaultValue = "required for control";
        } else if (rule.requirement != Requirement::Optional) {
            defaultValue = "required";
        }
        descriptions.push_back(
            SettingDescription { std::string(rule.key), typeText(rule.body), std::move(defaultValue), std::string(rule.meaning) });
    }
    return descriptions;
}

}

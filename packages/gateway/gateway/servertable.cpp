#include "gateway/servertable.h"

#include <algorithm>
#include <cmath>

#include "net/socketaddress.h"

namespace Galenabarrow::Gateway
{

namespace
{

/// Time constant with which a load report loses its weight: about the duration of a request, and of a disturbance by
/// neighbours on the machine.
constexpr double ReportDecaySeconds = 0.15;
/// Weight of the newest sample in the moving averages.
constexpr double AverageWeight = 0.05;
constexpr double HealthWeight = 0.25;
/// A report up to this age is fresh and needs no probe: a disturbance lasts several times as long.
constexpr Duration MaxFreshReportAge = std::chrono::milliseconds(20);
/// Reports up to this age show whether a service is busy.
constexpr Duration MaxBusyReportAge = std::chrono::milliseconds(60);
/// A server with at most this slowness is undisturbed.
constexpr double UndisturbedSlowness = 1.3;
/// Time constant of the sustained slowness. Much longer than a disturbance, which ends after some tenths of a second.
constexpr double SlownessDecaySeconds = 3;
/// Consecutive unanswered probes after which a server is avoided.
constexpr unsigned MaxUnansweredProbes = 2;
/// Usual slowness of shared machines; expected in the absence of a fresh report.
constexpr double UsualSlowness = 1.5;
/// Occupancy above which servers slow down, and the share by which a request takes longer when the server is full; see the platform's
/// notes on nearly full servers.
constexpr double KneeOccupancy = 0.8;
constexpr double KneeSlowdown = 0.7;
/// Penalty for a server in another data centre, as a multiple of the route's objective.
constexpr double RemotePenaltyFactor = 2;
/// A server that has just started takes about twice as long.
constexpr double ColdSlowdown = 1.0;
/// The score of a cold server that is to get its first request; those of all others are above 0.
constexpr double ColdFirstScore = -1;
/// Consecutive broken attempts, or share of failures, after which a server is avoided.
constexpr unsigned MaxConsecutiveBroken = 2;
constexpr double MaxFailureShare = 0.4;
constexpr unsigned MinSamples = 4;
/// How long a server is avoided the first time, and at most; the time doubles in between.
constexpr Duration FirstAvoidance = std::chrono::seconds(1);
constexpr Duration MaxAvoidance = std::chrono::seconds(8);
/// At most this share of a service's servers is avoided at the same time.
constexpr double MaxAvoidedShare = 0.5;
/// Scores that differ by less count as equal, since load reports are not more precise.
constexpr double EqualScoreSeconds = 0.01;

/// Expected time until a server that takes work again has answered its first request; at least this time.
constexpr Duration MinReturnWait = std::chrono::milliseconds(10);

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

void updateAverage(double &value, double sample, double weight)
{
    value += (sample - value) * weight;
}

}

ServerTable::ServerTable(DataCentreId localDataCentre, RandomSource &random)
    : m_localDataCentre(std::move(localDataCentre))
    , m_random(random)
    , m_log("servers")
    , m_coldLimits(random)
{
}

void ServerTable::apply(const Coordination::FeedUpdate &update, Instant now)
{
    if (update.isWhole) {
        std::set<ServerId> named;
        for (const Routing::BackendServer &it : update.servers) {
            named.insert(it.id);
        }
        std::vector<ServerId> missing;
        for (const auto &[id, row] : m_rows) {
            if (!named.contains(id) && row.server.changedAt <= update.index) {
                missing.push_back(id);
            }
        }
        for (const ServerId &it : missing) {
            remove(it);
        }
    }
    for (const Routing::BackendServer &it : update.servers) {
        upsert(it, now);
    }
    for (auto &[id, row] : m_rows) {
        row.isSilent = std::find(update.silent.begin(), update.silent.end(), id) != update.silent.end();
    }
    for (const DataCentreId &it : m_evacuations.apply(update)) {
        markCold(it, now);
    }
    m_limits.apply(update.limits, update.entryCount, now);
    m_notices.expire(now);
    m_entryCount = std::max(1U, update.entryCount);
    if (!update.servers.empty() || !update.evacuations.empty() || update.isWhole) {
        rebuildServices();
    }
    m_coldLimits.apply(update, now);
    m_coldLimits.track(m_rows, now);
}

void ServerTable::setServices(const std::vector<Routing::Service> &services, Instant now)
{
    m_coldStarts.clear();
    for (const Routing::Service &it : services) {
        m_coldStarts[it.name] = it.coldStart;
    }
    m_coldLimits.setServices(services);
    m_coldLimits.track(m_rows, now);
}

void ServerTable::startCold(ServerRow &row, Duration coldLeft, Instant now) const
{
    row.coldUntil = std::max(row.coldUntil, now + m_coldLimits.boundedColdTime(row.server.service, coldLeft));
}

void ServerTable::upsert(const Routing::BackendServer &server, Instant now)
{
    const auto it = m_rows.find(server.id);
    if (it != m_rows.end() && it->second.server.changedAt >= server.changedAt) {
        return; // sent by a lagging core instance
    }
    if (server.state == Routing::ServerState::Gone) {
        remove(server.id);
        return;
    }
    // A core instance of another version may have accepted it.
    if (!Net::parseSocketAddress(server.address)) {
        ++m_unusable;
        m_log.warn("server_unusable", { { "server", server.id.value() }, { "address", server.address } });
        remove(server.id);
        return;
    }
    if (it != m_rows.end() && it->second.server.born != server.born) {
        remove(server.id);
    }
    ServerRow &row = m_rows[server.id];
    const bool isNew = row.server.id != server.id;
    row.server = server;
    if (isNew || m_coldLimits.hasLimit(server.service)) {
        startCold(row, server.coldLeft, now);
        row.toldColdUntil = row.coldUntil;
    }
}

void ServerTable::remove(const ServerId &server)
{
    if (m_rows.erase(server) > 0) {
        m_removed.push_back(server);
        m_limits.remove(server);
        m_notices.remove(server);
        m_coldLimits.remove(server);
    }
}

void ServerTable::markCold(const DataCentreId &dataCentre, Instant now)
{
    for (auto &[id, row] : m_rows) {
        const auto coldStart = m_coldStarts.find(row.server.service);
        if (row.server.dataCentre == dataCentre && coldStart != m_coldStarts.end()) {
            row.coldUntil = std::max(row.coldUntil, now + coldStart->second);
        }
    }
}

void ServerTable::rebuildServices()
{
    m_unevacuated = 0;
    for (auto &[name, service] : m_services) {
        service.servers.clear();
        service.evacuated = 0;
    }
    for (const auto &[id, row] : m_rows) {
        const bool isRowEvacuated = isEvacuated(row);
        m_unevacuated += isRowEvacuated ? 0 : 1;
        if (row.server.state != Routing::ServerState::Ready) {
            continue;
        }
        ServiceRow &service = m_services[row.server.service];
        if (isRowEvacuated) {
            ++service.evacuated;
        } else {
            service.servers.push_back(id);
        }
    }
}

std::optional<ServerChoice> ServerTable::choose(const ChoiceInput &input, Instant now) const
{
    const auto service = m_services.find(input.service);
    if (service == m_services.end()) {
        return std::nullopt;
    }
    const ServerRow *best = nullptr;
    double bestScore = 0;
    unsigned ties = 0;
    for (const ServerId &id : service->second.servers) {
        if (std::find(input.tried.begin(), input.tried.end(), id) != input.tried.end()) {
            continue;
        }
        const bool isExcluded = !mayReceive(m_rows.at(id), now) || (input.need == ChoiceInput::Need::Free && !isKnownFree(id, now))
            || (input.need == ChoiceInput::Need::FreeButSlow && !isKnownSlowButFree(id, now));
        if (isExcluded) {
            continue;
        }
        const ServerRow &row = m_rows.at(id);
        const double value = score(row, service->second, input, now);
        const bool isEqual = best != nullptr && std::abs(value - bestScore) < EqualScoreSeconds;
        if (isEqual) {
            ++ties;
            if (m_random.below(ties) == 0) {
                best = &row;
            }
        } else if (best == nullptr || value < bestScore) {
            best = &row;
            bestScore = value;
            ties = 1;
        }
    }
    if (best == nullptr) {
        return std::nullopt;
    }
    ServerChoice choice;
    choice.server = best->server.id;
    choice.expected = Duration(static_cast<Duration::rep>(bestScore * 1e6));
    choice.occupancy = (best->inFlight + expectedOthers(*best, service->second, now)) / best->server.slots;
    return choice;
}

std::vector<ServerId> ServerTable::candidates(const ChoiceInput &input, std::size_t maxCount, Instant now) const
{
    const auto service = m_services.find(input.service);
    if (service == m_services.end()) {
        return {};
    }
    std::vector<std::pair<double, ServerId>> scored;
    for (const ServerId &id : service->second.servers) {
        const bool isTried = std::find(input.tried.begin(), input.tried.end(), id) != input.tried.end();
        const bool isKnownWorse = isFresh(id, now) && !isKnownFreeAndFast(id, now);
        // A cold server with a limit is not probed, see isKnownFree().
        const bool isCold = m_coldLimits.isLimited(m_rows.at(id), now) && !isColdFirst(m_rows.at(id), input, now);
        if (!isTried && !isKnownWorse && !isCold && !m_rows.at(id).hasLateProbe && mayReceive(m_rows.at(id), now)) {
            const double noise = m_random.unit() * EqualScoreSeconds;
            scored.emplace_back(score(m_rows.at(id), service->second, input, now) + noise, id);
        }
    }
    const std::size_t count = std::min(maxCount, scored.size());
    std::partial_sort(scored.begin(), scored.begin() + static_cast<std::ptrdiff_t>(count), scored.end());
    std::vector<ServerId> best;
    for (std::size_t n = 0; n < count; ++n) {
        best.push_back(scored[n].second);
    }
    return best;
}

bool ServerTable::isFresh(const ServerId &server, Instant now) const
{
    const ServerRow *row = find(server);
    return row != nullptr && row->load && now - row->load->at <= MaxFreshReportAge;
}

double ServerTable::spareSlots(const ServerRow &row)
{
    const double others = std::max(0.0, static_cast<double>(row.load->running) + row.load->waiting - row.inFlightAtLoad);
    return row.server.slots - (row.inFlight + others + 1);
}

bool ServerTable::isColdFirst(const ServerRow &row, const ChoiceInput &input, Instant now) const
{
    const bool isUsable = !row.isSilent && !row.hasLateProbe && now >= row.avoidedUntil;
    return m_coldLimits.isAnyLimited() && isUsable && input.tried.empty() && m_coldLimits.awaitsFirstRequest(row, now);
}

void ServerTable::countWithheld(const ServiceId &service, Instant now)
{
    const auto it = m_services.find(service);
    if (!m_coldLimits.isAnyLimited() || it == m_services.end()) {
        return;
    }
    const auto &servers = it->second.servers;
    const auto isWithheld = [&](const ServerId &id) { return m_coldLimits.wait(m_rows.at(id), now) > Duration {}; };
    if (std::any_of(servers.begin(), servers.end(), isWithheld)) {
        m_coldLimits.recordWithheld();
    }
}

bool ServerTable::isKnownFree(const ServerId &server, Instant now) const
{
    const ServerRow *row = find(server);
    if (row != nullptr && !isFresh(server, now) && m_coldLimits.isLimited(*row, now)) {
        // A probe would take the token of the request. The limit keeps a cold server far from full.
        return now >= row->avoidedUntil && !row->hasLateProbe && row->inFlight < row->server.slots && mayReceive(*row, now);
    }
    return isFresh(server, now) && now >= row->avoidedUntil && row->load->slowness <= UndisturbedSlowness && spareSlots(*row) >= 0
        && mayReceive(*row, now);
}

bool ServerTable::mayReceive(const ServerId &server, Instant now) const
{
    const ServerRow *row = find(server);
    return row != nullptr && mayReceive(*row, now);
}

bool ServerTable::mayReceive(const ServerRow &row, Instant now) const
{
    return !isEvacuated(row) && sendWait(row, now).time == Duration {};
}

bool ServerTable::isEvacuated(const ServerRow &row) const
{
    return m_evacuations.contains(row.server.dataCentre);
}

bool ServerTable::isReturnFull(const ServerRow &row, Instant now) const
{
    const std::optional<unsigned> answers = m_notices.answersSinceReturn(row.server.id, row.server.born, now);
    return answers && row.inFlight >= std::max(1U, row.server.slots / m_entryCount) + *answers;
}

SendWait ServerTable::sendWait(const ServerRow &row, Instant now) const
{
    const Duration limit = std::max(m_limits.wait(row.server.id, row.server.born, now), m_coldLimits.wait(row, now));
    if (m_notices.isEmpty()) {
        return { limit, SendWait::Reason::Limit };
    }
    Duration away = m_notices.wait(row.server.id, row.server.born, now);
    if (away == Duration::max()) {
        return { away, SendWait::Reason::Leaving };
    }
    if (isReturnFull(row, now)) {
        away = std::max<Duration>(workTime(row.server.service), MinReturnWait);
    }
    return away > limit ? SendWait { away, SendWait::Reason::Away } : SendWait { limit, SendWait::Reason::Limit };
}

bool ServerTable::isKnownFreeAndFast(const ServerId &server, Instant now) const
{
    if (!isKnownFree(server, now)) {
        return false;
    }
    const ServerRow &row = m_rows.at(server);
    return !isFresh(server, now) || spareSlots(row) >= 1 || !m_workTimes.isLastSlotSlow(row.server.service);
}

bool ServerTable::isInLocalDataCentre(const ServerId &server) const
{
    const ServerRow *row = find(server);
    return row != nullptr && row->server.dataCentre == m_localDataCentre;
}

bool ServerTable::isKnownSlowButFree(const ServerId &server, Instant now) const
{
    const ServerRow *row = find(server);
    return isFresh(server, now) && now >= row->avoidedUntil && row->load->slowness <= UndisturbedSlowness * row->sustainedSlowness
        && spareSlots(*row) >= 0 && mayReceive(*row, now);
}

double ServerTable::expectedOthers(const ServerRow &row, const ServiceRow &service, Instant now) const
{
    if (!row.load) {
        return service.othersPerServer;
    }
    const double reported = static_cast<double>(row.load->running) + row.load->waiting;
    const double others = std::max(0.0, reported - row.inFlightAtLoad);
    const double freshness = std::exp(-seconds(now - row.load->at) / ReportDecaySeconds);
    return service.othersPerServer + (others - service.othersPerServer) * freshness;
}

double ServerTable::expectedSlowness(const ServerRow &row, Instant now) const
{
    if (!row.load) {
        return UsualSlowness;
    }
    const double freshness = std::exp(-seconds(now - row.load->at) / ReportDecaySeconds);
    return UsualSlowness + (row.load->slowness - UsualSlowness) * freshness;
}

double ServerTable::score(const ServerRow &row, const ServiceRow &service, const ChoiceInput &input, Instant now) const
{
    if (isColdFirst(row, input, now)) {
        return ColdFirstScore;
    }
    const double slots = row.server.slots;
    const double load = row.inFlight + expectedOthers(row, service, now);
    const double occupancy = (load + 1) / slots;
    const double kneeSlowdown = std::clamp((occupancy - KneeOccupancy) / (1 - KneeOccupancy), 0.0, 1.0) * KneeSlowdown;
    const double work = m_workTimes.usualSeconds(input.service) * expectedSlowness(row, now) / UsualSlowness;
    const double waiting = std::max(0.0, load + 1 - slots) / slots;
    double value = work * (1 + kneeSlowdown + waiting);
    if (now < row.coldUntil) {
        value += work * ColdSlowdown;
    }
    if (row.server.dataCentre != m_localDataCentre) {
        value += seconds(input.objective) * RemotePenaltyFactor;
    }
    // A failed request costs at least one more attempt.
    value += (row.failureShare + row.rejectionShare + (row.hasLateProbe ? 1 : 0)) * seconds(input.objective);
    if (row.isSilent || now < row.avoidedUntil) {
        value += seconds(MaxAvoidance);
    }
    return value;
}

const ServerRow *ServerTable::find(const ServerId &server) const
{
    const auto it = m_rows.find(server);
    return it == m_rows.end() ? nullptr : &it->second;
}

bool ServerTable::hasFreshReports(const ServiceId &service, Instant now) const
{
    const auto it = m_services.find(service);
    if (it == m_services.end()) {
        return false;
    }
    return std::any_of(it->second.servers.begin(), it->second.servers.end(), [&](const ServerId &server) {
        const ServerRow &row = m_rows.at(server);
        return row.load && now - row.load->at <= MaxBusyReportAge;
    });
}

AttemptStart ServerTable::recordAttemptStart(const ServerId &server, const std::string &route, Instant now)
{
    AttemptStart start;
    start.route = route;
    const auto it = m_rows.find(server);
    if (it == m_rows.end()) {
        return start;
    }
    ServerRow &row = it->second;
    start.born = row.server.born;
    start.isKnown = isFresh(server, now);
    if (start.isKnown) {
        start.isUndisturbed = row.load->slowness <= UndisturbedSlowness;
        start.fillsServer = spareSlots(row) < 1;
    }
    ++row.inFlight;
    m_coldLimits.recordSend(row, now);
    countWithheld(row.server.service, now);
    return start;
}

void ServerTable::recordAttemptEnd(const ServerId &server, AttemptResult result, const AttemptStart &start, Duration duration, Instant now)
{
    const auto it = m_rows.find(server);
    if (it == m_rows.end()) {
        return;
    }
    ServerRow &row = it->second;
    row.inFlight -= row.inFlight > 0 ? 1 : 0;
    if (result == AttemptResult::Abandoned) {
        return;
    }
    ++row.samples;
    const bool isBroken = result == AttemptResult::Broken || result == AttemptResult::TimedOut;
    const bool isFailure = isBroken || result == AttemptResult::Failed;
    updateAverage(row.failureShare, isFailure ? 1 : 0, HealthWeight);
    updateAverage(row.rejectionShare, result == AttemptResult::Rejected ? 1 : 0, HealthWeight);
    row.consecutiveBroken = isBroken ? row.consecutiveBroken + 1 : 0;
    if (result == AttemptResult::Served) {
        if (start.isKnown && start.isUndisturbed) {
            m_workTimes.record(row.server.service, start.route, start.fillsServer, seconds(duration));
        }
        row.avoidance = row.failureShare < MaxFailureShare / 2 ? Duration {} : row.avoidance;
    }
    const bool isUnhealthy = row.samples >= MinSamples && row.failureShare > MaxFailureShare;
    if (isFailure && (row.consecutiveBroken >= MaxConsecutiveBroken || isUnhealthy)) {
        avoid(row, now);
    }
}

void ServerTable::avoid(ServerRow &row, Instant now)
{
    if (now < row.avoidedUntil || !mayAvoid(m_services[row.server.service], now)) {
        return;
    }
    row.avoidance = std::clamp(row.avoidance * 2, FirstAvoidance, MaxAvoidance);
    row.avoidedUntil = now + row.avoidance;
}

bool ServerTable::mayAvoid(const ServiceRow &service, Instant now) const
{
    const auto avoided =
        std::count_if(service.servers.begin(), service.servers.end(), [&](const ServerId &it) { return now < m_rows.at(it).avoidedUntil; });
    return static_cast<double>(avoided + 1) <= static_cast<double>(service.servers.size()) * MaxAvoidedShare;
}

void ServerTable::updateLoad(const ServerId &server, const LoadReport &report)
{
    const auto it = m_rows.find(server);
    if (it == m_rows.end()) {
        return;
    }
    ServerRow &row = it->second;
    const double elapsed = row.load ? seconds(report.at - row.load->at) : 0;
    row.sustainedSlowness = row.load ? row.sustainedSlowness : report.slowness;
    row.load = report;
    row.sustainedSlowness += (report.slowness - row.sustainedSlowness) * (1 - std::exp(-elapsed / SlownessDecaySeconds));
    row.sustainedSlowness = std::min(row.sustainedSlowness, report.slowness);
    row.inFlightAtLoad = row.inFlight;
    const double others = std::max(0.0, static_cast<double>(report.running) + report.waiting - row.inFlight);
    updateAverage(m_services[row.server.service].othersPerServer, others, AverageWeight);
}

void ServerTable::recordLateProbe(const ServerId &server)
{
    const auto it = m_rows.find(server);
    if (it != m_rows.end()) {
        it->second.hasLateProbe = true;
    }
}

void ServerTable::recordProbe(const ServerId &server, bool hasAnswered, Instant now)
{
    const auto it = m_rows.find(server);
    if (it == m_rows.end()) {
        return;
    }
    ServerRow &row = it->second;
    row.hasLateProbe = false;
    row.consecutiveUnansweredProbes = hasAnswered ? 0 : row.consecutiveUnansweredProbes + 1;
    if (row.consecutiveUnansweredProbes >= MaxUnansweredProbes) {
        avoid(row, now);
    }
}

void ServerTable::recordStatement(const ServerId &server, std::uint64_t born, const ServerStatement &statement, Instant sentAt, Instant now)
{
    const ServerRow *row = find(server);
    if (row == nullptr || row->server.born != born) {
        return; // the server has left or started again since the request was sent
    }
    m_notices.record(server, born, statement, sentAt, now);
    if (statement.coldLeft && m_coldLimits.hasLimit(row->server.service)) {
        startCold(m_rows.at(server), *statement.coldLeft, now);
        m_coldLimits.track(m_rows, now);
    }
    if (m_limits.record(server, born, statement.limit, statement.source, sentAt, now) && m_urgentLimitCallback) {
        m_urgentLimitCallback();
    }
}

void ServerTable::onUrgentLimit(std::function<void()> callback)
{
    m_urgentLimitCallback = std::move(callback);
}

ServerLimits &ServerTable::limits()
{
    return m_limits;
}

const ServerLimits &ServerTable::limits() const
{
    return m_limits;
}

ColdLimits &ServerTable::coldLimits()
{
    return m_coldLimits;
}

const ColdLimits &ServerTable::coldLimits() const
{
    return m_coldLimits;
}

const ServerNotices &ServerTable::notices() const
{
    return m_notices;
}

std::optional<SendWait> ServerTable::sendWait(const ServiceId &service, const std::vector<ServerId> &tried, Instant now) const
{
    const auto it = m_services.find(service);
    if ((!m_limits.isAnyLimited() && !m_coldLimits.isAnyLimited() && m_notices.isEmpty()) || it == m_services.end()) {
        return std::nullopt;
    }
    std::optional<SendWait> shortest;
    for (const ServerId &id : it->second.servers) {
        if (std::find(tried.begin(), tried.end(), id) != tried.end()) {
            continue;
        }
        const SendWait wait = sendWait(m_rows.at(id), now);
        if (wait.time == Duration {}) {
            return std::nullopt;
        }
        shortest = !shortest || wait.time < shortest->time ? wait : *shortest;
    }
    return shortest;
}

std::string ServerTable::describeNotices(const ServiceId &service, Instant now) const
{
    const auto it = m_services.find(service);
    if (m_notices.isEmpty() || it == m_services.end()) {
        return {};
    }
    std::size_t away = 0;
    std::size_t leaving = 0;
    for (const ServerId &id : it->second.servers) {
        const NoticeState state = m_notices.state(id, m_rows.at(id).server.born, now);
        away += state == NoticeState::Away ? 1 : 0;
        leaving += state == NoticeState::Leaving ? 1 : 0;
    }
    return away + leaving == 0 ? std::string() : std::to_string(away) + "_away+" + std::to_string(leaving) + "_leaving";
}

Duration ServerTable::workTime(const ServiceId &service) const
{
    return Duration(static_cast<Duration::rep>(m_workTimes.usualSeconds(service) * 1e6));
}

std::size_t ServerTable::readyCount(const ServiceId &service) const
{
    const auto it = m_services.find(service);
    return it == m_services.end() ? 0 : it->second.servers.size();
}

std::size_t ServerTable::size() const
{
    return m_rows.size();
}

std::size_t ServerTable::unevacuatedCount() const
{
    return m_unevacuated;
}

std::size_t ServerTable::evacuationCount() const
{
    return m_evacuations.count();
}

bool ServerTable::isEvacuated(const ServiceId &service) const
{
    const auto it = m_services.find(service);
    return it != m_services.end() && it->second.servers.empty() && it->second.evacuated > 0;
}

std::uint64_t ServerTable::unusable() const
{
    return m_unusable;
}

std::vector<ServerId> ServerTable::takeRemoved()
{
    return std::exchange(m_removed, {});
}

}

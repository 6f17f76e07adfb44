#include "gateway/crashwatch.h"

#include <utility>

#include "gateway/markbuilder.h"

namespace Galenabarrow::Gateway
{

using Coordination::CrashFact;
using Coordination::RequestMark;

CrashWatch::CrashWatch(Net::EventLoop &loop, RandomSource &random)
    : m_loop(loop)
    , m_log("crashes")
    , m_check(loop)
    , m_ledger(random.unit())
{
}

void CrashWatch::handleLostConnection(const Routing::BackendServer &server, const RequestMark &mark)
{
    if (server.state != Routing::ServerState::Ready) {
        return; // it leaves as announced
    }
    m_check.check(server.address, [this, id = server.id, born = server.born, mark](bool hasCrashed) {
        if (hasCrashed) {
            m_log.info("server_crashed",
                       { { "server", id.value() }, { "born", std::to_string(born) }, { "mark", Coordination::describe(mark) } });
            record(CrashFact { mark, id, born, {} });
        }
    });
}

void CrashWatch::recordEnd(const RequestMark &mark)
{
    record(CrashFact { mark, ServerId(), 0, {} });
}

void CrashWatch::record(const CrashFact &fact)
{
    if (!m_ledger.record(fact, m_loop.now())) {
        return;
    }
    m_unreported.push_back(SeenFact { fact, m_loop.now() });
    if (m_factCallback) {
        m_factCallback();
    }
}

bool CrashWatch::isSuspected(const Http::Request &request) const
{
    return m_ledger.size() > 0 && m_ledger.knowsPlace(placeOf(request));
}

std::size_t CrashWatch::crashes(const RequestMark &mark) const
{
    return m_ledger.crashes(mark);
}

Duration CrashWatch::holdTime(const RequestMark &mark) const
{
    return m_ledger.holdTime(mark, m_loop.now());
}

void CrashWatch::apply(const std::vector<CrashFact> &facts)
{
    for (const CrashFact &it : facts) {
        m_ledger.record(it, m_loop.now());
    }
}

std::vector<CrashFact> CrashWatch::takeFacts(bool all)
{
    if (all) {
        return m_ledger.factsAfter(0, m_loop.now());
    }
    std::vector<CrashFact> facts;
    for (SeenFact &it : std::exchange(m_unreported, {})) {
        it.fact.age = m_loop.now() - it.at;
        facts.push_back(std::move(it.fact));
    }
    return facts;
}

void CrashWatch::onFact(std::function<void()> callback)
{
    m_factCallback = std::move(callback);
}

const CrashCheck &CrashWatch::checks() const
{
    return m_check;
}

void CrashWatch::writeMetrics(Report::MetricsText &text) const
{
    const std::size_t held = m_ledger.heldCount(m_loop.now());
    text.family("galenabarrow_gateway_requests_suspected", Report::MetricsText::Kind::Gauge,
                "Requests that were running when servers crashed, by state.");
    text.sample({ { "state", "held_back" } }, std::uint64_t { held });
    text.sample({ { "state", "watched" } }, std::uint64_t { m_ledger.size() - held });
}

}

#pragma once

#include <functional>
#include <mutex>
#include <string>
#include <string_view>

#include "daemon/clusternode.h"
#include "daemon/controlnode.h"
#include "daemon/entrynode.h"
#include "daemon/httpmessage.h"

namespace Galenabarrow::Daemon
{

/// The HTTP interface for operators. Each request needs the bearer token.
class OperatorsApi
{
public:
    /// Functions that produce the replies to GET /metrics and GET /v1/burn.
    struct Pages {
        std::function<HttpReply()> metrics;
        std::function<HttpReply()> burn;
    };

    /// \p control and \p entry are null when the instance does not have that role.
    OperatorsApi(std::string token, ClusterNode &cluster, const ControlNode *control, const EntryNode *entry, Pages pages, std::mutex &lock,
                 const Clock &clock);

    HttpReply handle(const HttpRequest &request);

private:
    bool isAuthorized(const HttpRequest &request) const;
    HttpReply handleContracts(const HttpRequest &request, std::string_view customer);
    HttpReply listContracts() const;
    HttpReply showContract(const CustomerId &customer) const;
    HttpReply changeContract(const HttpRequest &request, const CustomerId &customer);
    Result<ContractChange> parseChange(const HttpRequest &request, const CustomerId &customer) const;
    HttpReply drainServer(const HttpRequest &request, std::string_view server);
    HttpReply status() const;

    std::string m_token;
    ClusterNode &m_cluster;
    const ControlNode *m_control;
    const EntryNode *m_entry;
    Pages m_pages;
    std::mutex &m_lock;
    const Clock &m_clock;
};

}

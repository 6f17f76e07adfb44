#pragma once

#include <string>

#include "gateway/accountindex.h"
#include "gateway/headernames.h"
#include "http/message.h"

namespace Galenabarrow::Gateway
{

/// The client account of a request, by the configuration that the request started with.
struct ClientIdentity {
    /// Whether that configuration has a list of client accounts. Without one, the header fields of a request are forwarded unchanged.
    bool hasAccounts = false;
    /// Null without a list of accounts and on public routes.
    AccountPointer account;

    /// The name of the account; empty without one.
    std::string name() const;
    /// The priority of the account, else that of \p route.
    int priority(const Routing::Route &route) const;
    /// Replaces the caller's account field by the name of the account, and removes the key.
    void setFields(Http::Fields &fields, const HeaderNames &headerNames) const;
};

enum class KeyResult {
    /// The key is valid, or none is needed.
    Accepted,
    /// No bearer key, or more than one Authorization field.
    Missing,
    Unknown,
};

struct KeyCheck {
    KeyResult result = KeyResult::Accepted;
    ClientIdentity client;
};

/// Checks the key of a request for \p route with these header fields.
KeyCheck checkKey(const AccountIndex &accounts, const Http::Fields &fields, const Routing::Route &route);

}

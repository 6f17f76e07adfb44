#pragma once

#include <set>
#include <string>

#include <catch2/catch.hpp>

#include "entry/callengine.h"

namespace Galenabarrow::Entry
{

/// Stubs of the engine's interfaces for long random runs, where mocks would be too slow. Track admitted calls and open keys.
class StubDependencies final : public ContractView, public AdmissionControl, public ActionKeys, public FreshnessView
{
public:
    tl::expected<CallTerms, ResultCode> terms(const CustomerId & /*customer*/, const ServiceId & /*service*/) const override
    {
        return CallTerms { std::chrono::seconds(1), 500, 500 };
    }

    tl::expected<void, ResultCode> admit(const CustomerId & /*customer*/, Instant /*now*/) override
    {
        ++admitted;
        return {};
    }

    void release(const CustomerId & /*customer*/, Instant /*now*/) override
    {
        --admitted;
    }

    tl::expected<void, KeyRefusal> begin(const Actions::ActionKey &key, Instant /*now*/) override
    {
        REQUIRE(openKeys.insert(key.text).second);
        return {};
    }

    void finish(const Actions::ActionKey &key, Outcome /*outcome*/, Instant /*now*/) override
    {
        REQUIRE(openKeys.erase(key.text) == 1);
    }

    bool isFenced(Instant /*now*/) const override
    {
        return isFencedNow;
    }

    int admitted = 0;
    std::set<std::string> openKeys;
    bool isFencedNow = false;
};

inline ServerRecord stubServer(const std::string &id, std::uint32_t slots)
{
    ServerRecord record;
    record.server = ServerId(id);
    record.service = ServiceId("s");
    record.dataCentre = DataCentreId("north");
    record.incarnation = Incarnation(1);
    record.slots = slots;
    return record;
}

}

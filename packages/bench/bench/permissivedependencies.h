#pragma once

#include "entry/engineinterfaces.h"

namespace Galenabarrow::Bench
{

/// Dependencies of a call engine with equal terms for all customers (2 hedges and 10 retries per 100 first attempts), without
/// limits, and with a contract table that is always fresh.
class PermissiveDependencies final : public Entry::ContractView,
                                     public Entry::AdmissionControl,
                                     public Entry::ActionKeys,
                                     public Entry::FreshnessView
{
public:
    tl::expected<Entry::CallTerms, ResultCode> terms(const CustomerId & /*customer*/, const ServiceId & /*service*/) const override
    {
        return Entry::CallTerms { Duration::zero(), 20, 100 };
    }

    tl::expected<void, ResultCode> admit(const CustomerId & /*customer*/, Instant /*now*/) override
    {
        return {};
    }

    void release(const CustomerId & /*customer*/, Instant /*now*/) override { }

    tl::expected<void, Entry::KeyRefusal> begin(const Actions::ActionKey & /*key*/, Instant /*now*/) override
    {
        return {};
    }

    void finish(const Actions::ActionKey & /*key*/, Outcome /*outcome*/, Instant /*now*/) override { }

    bool isFenced(Instant /*now*/) const override
    {
        return false;
    }
};

}

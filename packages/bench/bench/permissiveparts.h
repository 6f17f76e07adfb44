#pragma once

#include "entry/engineinterfaces.h"

namespace Galenabarrow::Bench
{

/// Equal terms for everyone: 2 hedges and 10 retries per 100 first attempts.
class SameTerms final : public Entry::ContractView
{
public:
    tl::expected<Entry::CallTerms, ResultCode> terms(const CustomerId & /*customer*/, const ServiceId & /*service*/) const override
    {
        return Entry::CallTerms { Duration::zero(), 20, 100 };
    }
};

/// No limits.
class AdmitAll final : public Entry::AdmissionControl
{
public:
    tl::expected<void, ResultCode> admit(const CustomerId & /*customer*/, Instant /*now*/) override
    {
        return {};
    }
    void release(const CustomerId & /*customer*/, Instant /*now*/) override { }
};

/// Every key may run.
class NoKeys final : public Entry::ActionKeys
{
public:
    tl::expected<void, Entry::KeyRefusal> begin(const Actions::ActionKey & /*key*/, Instant /*now*/) override
    {
        return {};
    }
    void finish(const Actions::ActionKey & /*key*/, Outcome /*outcome*/, Instant /*now*/) override { }
};

/// Never fenced.
class AlwaysFresh final : public Entry::FreshnessView
{
public:
    bool isFenced(Instant /*now*/) const override
    {
        return false;
    }
};

}

#include "report/burndata.h"

#include <algorithm>
#include <limits>
#include <map>
#include <set>
#include <sstream>

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>

#include "base/name.h"
#include "contract/jsonobject.h"
#include "report/latencyhistogram.h"

namespace Galenabarrow::Report
{

namespace
{

using Poco::JSON::Array;
using Poco::JSON::Object;

constexpr std::uint64_t MaxCount = std::numeric_limits<std::int64_t>::max();
constexpr std::uint64_t MaxPermille = 999;
/// Far above the counts of any entry, and small enough that sums over thousands of entries do not overflow.
constexpr std::uint64_t MaxReportedCount = std::uint64_t { 1 } << 48U;

std::int64_t seconds(Duration length)
{
    return std::chrono::duration_cast<std::chrono::seconds>(length).count();
}

Object::Ptr customerObject(const CustomerBurn &customer)
{
    Array::Ptr windows = new Array;
    for (std::size_t n = 0; n < customer.windows.size(); ++n) {
        Object::Ptr window = new Object(Poco::JSON_PRESERVE_KEY_ORDER);
        window->set("seconds", seconds(BurnWindows::Lengths[n]));
        window->set("calls", customer.windows[n].calls);
        window->set("bad", customer.windows[n].bad);
        windows->add(window);
    }
    Object::Ptr object = new Object(Poco::JSON_PRESERVE_KEY_ORDER);
    object->set("customer", customer.customer.value());
    object->set("version", customer.version.value());
    object->set("objectivePermille", customer.objective.permille);
    object->set("objectiveLatencyUs", customer.objective.latency.count());
    object->set("windows", windows);
    return object;
}

/// Writes only the buckets that are not empty, since most of them are.
Object::Ptr seriesObject(const LatencySeries &series)
{
    Array::Ptr buckets = new Array;
    for (std::size_t n = 0; n < series.counts.size(); ++n) {
        if (series.counts[n] != 0) {
            Object::Ptr bucket = new Object(Poco::JSON_PRESERVE_KEY_ORDER);
            bucket->set("bucket", static_cast<std::uint64_t>(n));
            bucket->set("count", series.counts[n]);
            buckets->add(bucket);
        }
    }
    Object::Ptr object = new Object(Poco::JSON_PRESERVE_KEY_ORDER);
    object->set("customer", series.customer.value());
    object->set("service", series.service.value());
    object->set("sumUs", series.sum.count());
    object->set("buckets", buckets);
    return object;
}

std::string readName(JsonFields &fields, const std::string &field, std::vector<std::string> &faults)
{
    const std::size_t before = faults.size();
    std::string text = fields.text(field);
    if (faults.size() == before && !isName(text)) {
        faults.push_back(fields.pathOf(field) + ": is not a name");
    }
    return text;
}

WindowCounts readWindow(const Object &object, const std::string &path, Duration length, std::vector<std::string> &faults)
{
    JsonFields fields(object, path, faults);
    if (fields.number("seconds", MaxCount) != static_cast<std::uint64_t>(seconds(length))) {
        faults.push_back(path + "seconds: is not " + std::to_string(seconds(length)));
    }
    WindowCounts counts;
    counts.calls = fields.number("calls", MaxReportedCount);
    counts.bad = fields.number("bad", counts.calls);
    fields.rejectUnknownFields();
    return counts;
}

CustomerBurn readCustomer(const Object &object, const std::string &path, std::vector<std::string> &faults)
{
    JsonFields fields(object, path, faults);
    CustomerBurn customer;
    customer.customer = CustomerId(readName(fields, "customer", faults));
    customer.version = Version(fields.number("version", MaxCount));
    customer.objective.permille = static_cast<std::uint32_t>(fields.number("objectivePermille", MaxPermille));
    customer.objective.latency = Duration(fields.number("objectiveLatencyUs", MaxReportedCount));
    const std::vector<Object::Ptr> windows = fields.objects("windows");
    if (windows.size() != customer.windows.size()) {
        faults.push_back(path + "windows: expected " + std::to_string(customer.windows.size()));
    }
    for (std::size_t n = 0; n < std::min(windows.size(), customer.windows.size()); ++n) {
        customer.windows[n] = readWindow(*windows[n], path + "windows[" + std::to_string(n) + "].", BurnWindows::Lengths[n], faults);
    }
    fields.rejectUnknownFields();
    return customer;
}

LatencySeries readSeries(const Object &object, const std::string &path, std::vector<std::string> &faults)
{
    JsonFields fields(object, path, faults);
    LatencySeries series;
    series.customer = CustomerId(readName(fields, "customer", faults));
    series.service = ServiceId(readName(fields, "service", faults));
    series.sum = Duration(fields.number("sumUs", MaxCount));
    series.counts.resize(LatencyHistogram::BucketCount);
    const std::vector<Object::Ptr> buckets = fields.objects("buckets");
    for (std::size_t n = 0; n < buckets.size(); ++n) {
        JsonFields bucket(*buckets[n], path + "buckets[" + std::to_string(n) + "].", faults);
        const std::uint64_t index = bucket.number("bucket", LatencyHistogram::BucketCount - 1);
        series.counts[index] = bucket.number("count", MaxReportedCount);
        bucket.rejectUnknownFields();
    }
    fields.rejectUnknownFields();
    return series;
}

void add(CustomerBurn &sum, const CustomerBurn &part)
{
    if (part.version.value() > sum.version.value()) {
        sum.version = part.version;
        sum.objective = part.objective;
    }
    for (std::size_t n = 0; n < sum.windows.size(); ++n) {
        sum.windows[n].calls += part.windows[n].calls;
        sum.windows[n].bad += part.windows[n].bad;
    }
}

void add(LatencySeries &sum, const LatencySeries &part)
{
    sum.counts.resize(LatencyHistogram::BucketCount);
    for (std::size_t n = 0; n < std::min(sum.counts.size(), part.counts.size()); ++n) {
        sum.counts[n] += part.counts[n];
    }
    sum.sum = part.sum > Duration::max() - sum.sum ? Duration::max() : sum.sum + part.sum;
}

}

std::string toJson(const BurnData &data)
{
    Array::Ptr instances = new Array;
    for (const InstanceId &it : data.instances) {
        instances->add(it.value());
    }
    Array::Ptr customers = new Array;
    for (const CustomerBurn &it : data.customers) {
        customers->add(customerObject(it));
    }
    Array::Ptr series = new Array;
    for (const LatencySeries &it : data.series) {
        series->add(seriesObject(it));
    }
    Object::Ptr object = new Object(Poco::JSON_PRESERVE_KEY_ORDER);
    object->set("instances", instances);
    object->set("customers", customers);
    object->set("series", series);
    std::ostringstream text;
    object->stringify(text);
    return text.str();
}

Result<BurnData> burnDataFromJson(std::string_view text)
{
    const Result<Object::Ptr> object = parseJsonObject(text);
    if (!object) {
        return tl::make_unexpected(object.error());
    }
    std::vector<std::string> faults;
    JsonFields fields(**object, "", faults);
    BurnData data;
    for (std::string &it : fields.texts("instances")) {
        data.instances.emplace_back(std::move(it));
    }
    const std::vector<Object::Ptr> customers = fields.objects("customers");
    for (std::size_t n = 0; n < customers.size(); ++n) {
        data.customers.push_back(readCustomer(*customers[n], "customers[" + std::to_string(n) + "].", faults));
    }
    const std::vector<Object::Ptr> series = fields.objects("series");
    for (std::size_t n = 0; n < series.size(); ++n) {
        data.series.push_back(readSeries(*series[n], "series[" + std::to_string(n) + "].", faults));
    }
    fields.rejectUnknownFields();
    if (!faults.empty()) {
        return failure(ResultCode::BodyMalformed, joinLines(faults));
    }
    return data;
}

BurnData merge(std::span<const BurnData> parts)
{
    std::set<std::string> instances;
    std::map<std::string, CustomerBurn> customers;
    std::map<std::pair<std::string, std::string>, LatencySeries> series;
    for (const BurnData &part : parts) {
        const auto isKnown = [&](const InstanceId &it) { return instances.contains(it.value()); };
        if (std::any_of(part.instances.begin(), part.instances.end(), isKnown)) {
            continue;
        }
        for (const InstanceId &it : part.instances) {
            instances.insert(it.value());
        }
        for (const CustomerBurn &it : part.customers) {
            CustomerBurn &sum =
                customers.try_emplace(it.customer.value(), CustomerBurn { it.customer, it.version, it.objective, {} }).first->second;
            add(sum, it);
        }
        for (const LatencySeries &it : part.series) {
            LatencySeries &sum =
                series.try_emplace({ it.customer.value(), it.service.value() }, LatencySeries { it.customer, it.service, {}, {} })
                    .first->second;
            add(sum, it);
        }
    }

    BurnData result;
    for (const std::string &it : instances) {
        result.instances.emplace_back(it);
    }
    for (auto &[key, it] : customers) {
        result.customers.push_back(std::move(it));
    }
    for (auto &[key, it] : series) {
        result.series.push_back(std::move(it));
    }
    return result;
}

}

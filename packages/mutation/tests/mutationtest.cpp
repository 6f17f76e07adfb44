#include <fstream>
#include <functional>
#include <sstream>

#include <catch2/catch.hpp>

#include "contract/contractjson.h"
#include "contract/contractrules.h"
#include "contract/operatorsapi.h"
#include "mutator.h"
#include "report/burndata.h"
#include "report/latencyhistogram.h"
#include "settings/loader.h"
#include "wire/envelope.h"
#include "wire/frame.h"

using namespace Galenabarrow;

namespace
{

constexpr int MutationsPerParser = 10'000;
constexpr std::uint64_t Seed = 20'261;

std::string readFile(const std::string &name)
{
    std::ifstream file(std::string(GALENABARROW_SOURCE_DIR) + "/examples/" + name, std::ios::binary);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

std::string textOf(const std::vector<std::uint8_t> &bytes)
{
    return { bytes.begin(), bytes.end() };
}

std::vector<std::uint8_t> bytesOf(const std::string &text)
{
    return { text.begin(), text.end() };
}

/// Result of parsing one input: an error, or whether the accepted value is valid.
using Verdict = Result<bool>;

Verdict parseSettings(const std::string &text)
{
    return Settings::parseSettings(text, "s").map([](const Settings::DaemonSettings &it) {
        return (it.instance.isEntry || it.instance.isControl) && !it.instance.id.value().empty() && it.control.replicas.size() % 2 == 1
            && it.timings.freshnessLimit > it.timings.electionTimeout && it.limits.queueSize > 0;
    });
}

Verdict parseContract(const std::string &text)
{
    return contractFromJson(text).map(
        [](const Contract &it) { return contractFaults(it).empty() && contractFromJson(toJson(it)).value() == it; });
}

Verdict parseContracts(const std::string &text)
{
    return contractsFromJson(text).map(
        [](const std::vector<Contract> &it) { return contractsFromJson(toJson(std::span<const Contract>(it))).value() == it; });
}

Verdict parseChangeResult(const std::string &text)
{
    return changeResultFromJson(text).map([](const ChangeResult &it) { return changeResultFromJson(toJson(it)).value() == it; });
}

Verdict parseError(const std::string &text)
{
    return errorFromJson(text).map([](const Error &it) { return errorFromJson(toJson(it)).value().code == it.code; });
}

Verdict parseBurnData(const std::string &text)
{
    return Report::burnDataFromJson(text).map(
        [](const Report::BurnData &it) { return Report::burnDataFromJson(toJson(it)).value() == it; });
}

bool isEqual(const Wire::Envelope &a, const Wire::Envelope &b)
{
    return a.sender == b.sender && a.senderAddress == b.senderAddress && a.incarnation == b.incarnation && a.correlation == b.correlation
        && a.kind == b.kind && a.payload == b.payload;
}

Verdict parseEnvelope(const std::string &text)
{
    return Wire::decodeEnvelope(bytesOf(text)).map([](const Wire::Envelope &it) {
        return isEqual(Wire::decodeEnvelope(encode(it)).value(), it);
    });
}

Wire::Envelope sampleEnvelope()
{
    return Wire::Envelope { InstanceId("e1"),          "127.0.0.1:4000", Incarnation(9), 5, Wire::MessageKind::GossipDigest,
                            { 1, 2, 3, 4, 5, 6, 7, 8 } };
}

std::string sampleFrame()
{
    return textOf(Wire::FrameCodec("cluster", "0123456789abcdef").seal(encode(sampleEnvelope())));
}

/// Decodes a frame in the same way as a connection does. Only an undamaged frame is valid, because the digest covers every byte
/// of the body.
Verdict parseFrame(const std::string &text)
{
    const Wire::FrameCodec codec("cluster", "0123456789abcdef");
    const std::vector<std::uint8_t> bytes = bytesOf(text);
    if (bytes.size() < Wire::FrameHeaderSize) {
        return failure(ResultCode::FrameMalformed, "incomplete header");
    }
    const std::span<const std::uint8_t, Wire::FrameHeaderSize> header(bytes.data(), Wire::FrameHeaderSize);
    const Result<std::size_t> length = codec.bodyLength(header);
    if (!length) {
        return tl::make_unexpected(length.error());
    }
    if (*length > bytes.size() - Wire::FrameHeaderSize) {
        return failure(ResultCode::FrameMalformed, "incomplete body");
    }
    return codec.verify(header, std::span(bytes).subspan(Wire::FrameHeaderSize, *length)).map([&] {
        return text.substr(0, sampleFrame().size()) == sampleFrame();
    });
}

std::string sampleBurnData()
{
    Report::BurnData data;
    data.instances = { InstanceId("e1") };
    data.customers = { Report::CustomerBurn { CustomerId("a"),
                                              Version(1),
                                              Report::Objective { 990, std::chrono::milliseconds(50) },
                                              { { { 1, 1 }, { 2, 1 }, { 3, 1 }, { 4, 1 } } } } };
    data.series = { Report::LatencySeries { CustomerId("a"), ServiceId("s"),
                                            std::vector<std::uint64_t>(Report::LatencyHistogram::BucketCount, 1), Duration(9) } };
    return toJson(data);
}

struct Parser {
    const char *name;
    std::function<std::vector<std::string>()> samples;
    Verdict (*parse)(const std::string &);
    std::vector<ResultCode> errors;
};

const Parser Parsers[] = {
    { "settings",
      [] {
          return std::vector { readFile("abyssinia/entry.toml"), readFile("abyssinia/control.toml"), readFile("odalaigh/entry.toml"),
                               readFile("odalaigh/control.toml") };
      },
      parseSettings,
      { ResultCode::SettingsInvalid } },
    { "contract",
      [] {
          return std::vector { readFile("abyssinia/contract.json"), readFile("odalaigh/contract.json") };
      },
      parseContract,
      { ResultCode::ContractInvalid, ResultCode::BodyMalformed } },
    { "contracts",
      [] {
          return std::vector<std::string> { "{\"contracts\":[" + readFile("abyssinia/contract.json") + ','
                                            + readFile("odalaigh/contract.json") + "]}" };
      },
      parseContracts,
      { ResultCode::ContractInvalid, ResultCode::BodyMalformed } },
    { "change result",
      [] {
          return std::vector { toJson(ChangeResult { ResultCode::VersionConflict, Version(7), ChangeId("c-1") }) };
      },
      parseChangeResult,
      { ResultCode::BodyMalformed } },
    { "error",
      [] {
          return std::vector { toJson(Error { ResultCode::NoQuorum, "no \"quorum\"\n" }) };
      },
      parseError,
      { ResultCode::BodyMalformed } },
    { "burn data", [] { return std::vector { sampleBurnData() }; }, parseBurnData, { ResultCode::BodyMalformed } },
    { "envelope", [] { return std::vector { textOf(encode(sampleEnvelope())) }; }, parseEnvelope, { ResultCode::FrameMalformed } },
    { "frame",
      [] { return std::vector { sampleFrame() }; },
      parseFrame,
      { ResultCode::FrameMalformed, ResultCode::FrameTooLarge, ResultCode::FrameDigestWrong } },
};

}

// Guards against damaged or malicious input that crashes the process, lets an exception escape from a parser, gives an error
// without an expected result code, or is accepted as an invalid value.
TEST_CASE("damaged input gives an expected error or a valid value", "[mutation]")
{
    for (const Parser &parser : Parsers) {
        Mutator mutator(parser.samples(), Seed);
        for (const std::string &it : parser.samples()) {
            REQUIRE(parser.parse(it).value());
        }
        int accepted = 0;
        for (int n = 0; n < MutationsPerParser; ++n) {
            const std::string text = mutator.next();
            const Verdict verdict = parser.parse(text);
            const bool isGoodValue = verdict && *verdict;
            const bool isGoodError = !verdict && !verdict.error().detail.empty()
                && std::find(parser.errors.begin(), parser.errors.end(), verdict.error().code) != parser.errors.end();
            accepted += isGoodValue ? 1 : 0;
            if (!isGoodValue && !isGoodError) {
                FAIL(parser.name << ", mutation " << n << " of seed " << Seed << ":\n" << text);
            }
        }
        WARN(parser.name << ": " << accepted << " of " << MutationsPerParser << " damaged inputs were valid");
    }
}

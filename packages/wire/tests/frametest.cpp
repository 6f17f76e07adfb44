#include "wire/frame.h"
#include "wire/envelope.h"

#include <catch2/catch.hpp>

using namespace Galenabarrow;
using namespace Galenabarrow::Wire;

namespace
{

Envelope sampleEnvelope()
{
    return Envelope { InstanceId("e1"), "127.0.0.1:4000", Incarnation(9), 5, MessageKind::GossipDigest, { 1, 2, 3 } };
}

std::span<const std::uint8_t, FrameHeaderSize> headerOf(const std::vector<std::uint8_t> &frame)
{
    return std::span<const std::uint8_t, FrameHeaderSize>(frame.data(), FrameHeaderSize);
}

}

// Guards against fields lost or mixed up between sender and receiver.
TEST_CASE("an envelope survives encoding", "[wire]")
{
    const Result<Envelope> envelope = decodeEnvelope(encode(sampleEnvelope()));
    REQUIRE(envelope);
    REQUIRE(envelope->sender == InstanceId("e1"));
    REQUIRE(envelope->senderAddress == "127.0.0.1:4000");
    REQUIRE(envelope->incarnation == Incarnation(9));
    REQUIRE(envelope->correlation == 5);
    REQUIRE(envelope->kind == MessageKind::GossipDigest);
    REQUIRE(envelope->payload == std::vector<std::uint8_t> { 1, 2, 3 });
}

// Guards against frames of another cluster, with another key, or damaged on the way being taken.
TEST_CASE("an address that is the sender's name is not sent twice", "[wire]")
{
    Envelope envelope = sampleEnvelope();
    envelope.sender = InstanceId("127.0.0.1:4000");
    const auto bytes = encode(envelope);
    const Result<Envelope> back = decodeEnvelope(bytes);
    REQUIRE(back);
    REQUIRE(back->senderAddress == "127.0.0.1:4000");
    envelope.senderAddress = "127.0.0.1:4001";
    REQUIRE(bytes.size() < encode(envelope).size());
}

TEST_CASE("a frame is refused with its numbered error", "[wire]")
{
    const FrameCodec codec("abyssinia", "secret");
    const std::vector<std::uint8_t> body = encode(sampleEnvelope());
    const std::vector<std::uint8_t> frame = codec.seal(body);
    REQUIRE(codec.verify(headerOf(frame), body));

    SECTION("other cluster")
    {
        REQUIRE(FrameCodec("millstone", "secret").verify(headerOf(frame), body).error().code == ResultCode::FrameDigestWrong);
    }
    SECTION("other key")
    {
        REQUIRE(FrameCodec("abyssinia", "guess").verify(headerOf(frame), body).error().code == ResultCode::FrameDigestWrong);
    }
    SECTION("damaged body")
    {
        std::vector<std::uint8_t> damaged = body;
        damaged.back() ^= 1U;
        REQUIRE(codec.verify(headerOf(frame), damaged).error().code == ResultCode::FrameDigestWrong);
    }
    SECTION("stated length over the limit")
    {
        std::vector<std::uint8_t> damaged = frame;
        damaged[3] = 0xff;
        REQUIRE(codec.bodyLength(headerOf(damaged)).error().code == ResultCode::FrameTooLarge);
    }
    SECTION("other protocol")
    {
        std::vector<std::uint8_t> damaged = frame;
        damaged[5] ^= 1U;
        REQUIRE(codec.bodyLength(headerOf(damaged)).error().code == ResultCode::FrameMalformed);
    }
    SECTION("envelope cut short")
    {
        REQUIRE(decodeEnvelope(std::span(body).first(body.size() / 2)).error().code == ResultCode::FrameMalformed);
    }
}

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
TEST_CASE("a decoded envelope equals the encoded one", "[wire]")
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

// Guards against redundant bytes in frames of senders that are named by their address.
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

// Guards against accepting damaged frames, or frames of another cluster or with another key.
TEST_CASE("an invalid frame is rejected with the result code of its fault", "[wire]")
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
    SECTION("wrong magic number")
    {
        std::vector<std::uint8_t> damaged = frame;
        damaged[5] ^= 1U;
        REQUIRE(codec.bodyLength(headerOf(damaged)).error().code == ResultCode::FrameMalformed);
    }
    SECTION("truncated envelope")
    {
        REQUIRE(decodeEnvelope(std::span(body).first(body.size() / 2)).error().code == ResultCode::FrameMalformed);
    }
}

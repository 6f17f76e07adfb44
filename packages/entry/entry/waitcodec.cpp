#include "entry/waitcodec.h"

#include "entry/generated/waits_generated.h"

namespace Galenabarrow::Entry
{

std::vector<std::uint8_t> encode(const std::vector<WaitReport> &reports)
{
    flatbuffers::FlatBufferBuilder builder;
    std::vector<flatbuffers::Offset<Fb::Wait>> waits;
    waits.reserve(reports.size());
    for (const WaitReport &it : reports) {
        waits.push_back(Fb::CreateWaitDirect(builder, it.service.value().c_str(), it.wait.count()));
    }
    builder.Finish(Fb::CreateWaitReportsDirect(builder, &waits));
    return { builder.GetBufferPointer(), builder.GetBufferPointer() + builder.GetSize() };
}

Result<std::vector<WaitReport>> decodeWaitReports(std::span<const std::uint8_t> bytes)
{
    flatbuffers::Verifier verifier(bytes.data(), bytes.size());
    if (!verifier.VerifyBuffer<Fb::WaitReports>(nullptr)) {
        return failure(ResultCode::FrameMalformed, "FlatBuffers verification of the wait reports failed");
    }
    std::vector<WaitReport> reports;
    for (const Fb::Wait *it : *flatbuffers::GetRoot<Fb::WaitReports>(bytes.data())->waits()) {
        reports.push_back({ ServiceId(it->service()->str()), Duration(it->microseconds()) });
    }
    return reports;
}

}

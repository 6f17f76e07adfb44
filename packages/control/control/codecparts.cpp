#include "control/codecparts.h"

namespace Galenabarrow::Control::CodecParts
{

flatbuffers::Offset<Fb::Contract> pack(Builder &builder, const Contract &contract)
{
    std::vector<flatbuffers::Offset<Fb::ServiceTerms>> services;
    for (const ServiceTerms &it : contract.services) {
        const auto paths = builder.CreateVectorOfStrings(it.idempotentPaths);
        const auto service = builder.CreateString(it.service.value());
        services.push_back(Fb::CreateServiceTerms(builder, service, paths, it.maxDeadline.count(), it.hedgePermille, it.retryPermille));
    }
    const auto customer = builder.CreateString(contract.customer.value());
    return Fb::CreateContract(builder, customer, contract.version.value(), builder.CreateVector(services), contract.ratePerSecond,
                              contract.burst, contract.concurrency, contract.objectivePermille, contract.objectiveLatency.count());
}

flatbuffers::Offset<Fb::ContractRecord> pack(Builder &builder, const ContractRecord &record)
{
    const auto contract = pack(builder, record.contract);
    return Fb::CreateContractRecord(builder, contract, record.withdrawn, builder.CreateString(record.change.value()));
}

flatbuffers::Offset<Fb::RegisteredEntry> pack(Builder &builder, const RegisteredEntry &entry)
{
    return Fb::CreateRegisteredEntryDirect(builder, entry.instance.value().c_str(), entry.incarnation.value(), entry.address.c_str(),
                                           entry.dataCentre.value().c_str());
}

flatbuffers::Offset<Fb::KeyClaim> pack(Builder &builder, const KeyClaim &claim)
{
    const auto key = builder.CreateString(claim.key);
    return Fb::CreateKeyClaim(builder, key, builder.CreateString(claim.owner.value()), claim.incarnation.value());
}

flatbuffers::Offset<Fb::ProposalResult> pack(Builder &builder, const ProposalResult &result)
{
    const auto optional = [&builder](const std::string &from) {
        return from.empty() ? flatbuffers::Offset<flatbuffers::String>() : builder.CreateString(from);
    };
    const auto winner = optional(result.winner.value());
    const auto owner = optional(result.owner.value());
    return Fb::CreateProposalResult(builder, static_cast<std::uint16_t>(result.code), result.version.value(), winner, owner,
                                    result.ownerIncarnation.value());
}

Contract unpack(const Fb::Contract &from)
{
    Contract contract;
    contract.customer = CustomerId(from.customer()->str());
    contract.version = Version(from.version());
    contract.ratePerSecond = from.rate_per_second();
    contract.burst = from.burst();
    contract.concurrency = from.concurrency();
    contract.objectivePermille = from.objective_permille();
    contract.objectiveLatency = Duration(from.objective_latency());
    if (from.services() == nullptr) {
        return contract;
    }
    for (const Fb::ServiceTerms *it : *from.services()) {
        ServiceTerms terms {
            ServiceId(it->service()->str()), {}, Duration(it->max_deadline()), it->hedge_permille(), it->retry_permille()
        };
        if (it->idempotent_paths() != nullptr) {
            for (const auto *path : *it->idempotent_paths()) {
                terms.idempotentPaths.push_back(path->str());
            }
        }
        contract.services.push_back(std::move(terms));
    }
    return contract;
}

ContractRecord unpack(const Fb::ContractRecord &from)
{
    return { unpack(*from.contract()), from.is_withdrawn(), ChangeId(from.change()->str()) };
}

RegisteredEntry unpack(const Fb::RegisteredEntry &from)
{
    return { InstanceId(from.instance()->str()), Incarnation(from.incarnation()), from.address()->str(),
             DataCentreId(from.data_centre()->str()) };
}

KeyClaim unpack(const Fb::KeyClaim &from)
{
    return { from.key()->str(), InstanceId(from.owner()->str()), Incarnation(from.incarnation()) };
}

ProposalResult unpack(const Fb::ProposalResult &from)
{
    return { static_cast<ResultCode>(from.code()), Version(from.version()), ChangeId(text(from.winner())), InstanceId(text(from.owner())),
             Incarnation(from.owner_incarnation()) };
}

}

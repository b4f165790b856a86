#pragma once

#include "codec/json.h"
#include "services/servicestypes.h"

//! JSON of the platform's protocols. Decoders throw codec::DecodeError.
namespace sardinerun::services {

Json::Value encodeResources(const core::Resources& it);
core::Resources decodeResources(codec::ObjectReader reader);
Json::Value encodeAttemptId(const core::AttemptId& it);
core::AttemptId decodeAttemptId(codec::ObjectReader& reader);

std::string encodeTransaction(const Transaction& it);
Transaction decodeTransaction(std::string_view text);
std::string encodeRows(const std::vector<Row>& rows);
std::vector<Row> decodeRows(std::string_view text);

std::string encodeVms(const std::vector<VmInfo>& vms);
//! A list of VMs, as far as it can be read.
struct DecodedVms {
    std::vector<VmInfo> vms;
    std::vector<std::string> unreadable; //!< why each of the other entries cannot be read
};
DecodedVms decodeVms(std::string_view text);

std::string encodeSync(const WorkerSync& it);
WorkerSync decodeSync(std::string_view text);
std::string encodeReport(const WorkerReport& it);
WorkerReport decodeReport(std::string_view text);

} // namespace sardinerun::services

#pragma once

#include "codec/json.h"
#include "jobs/jobtypes.h"

//! JSON encoding of jobs, for the log in the store and for messages between nodes. Decoders throw codec::DecodeError.
namespace sardinerun::jobs {

Json::Value encodeSpec(const JobSpec& it);
JobSpec decodeSpec(codec::ObjectReader reader);
Json::Value encodeSnapshot(const JobSnapshot& it);
JobSnapshot decodeSnapshot(codec::ObjectReader reader);
Json::Value encodeStatus(const JobStatus& it);
JobStatus decodeStatus(codec::ObjectReader reader);

} // namespace sardinerun::jobs

#pragma once

#include "workflow/workflowtypes.h"

#include <json/value.h>
#include <string>
#include <string_view>

//! JSON of the persisted records of workflows. Decoders throw codec::DecodeError.
namespace sardinerun::workflow {

Json::Value encodeSpec(const JobSpec& it);
JobSpec decodeSpec(const Json::Value& from);

//! Encodes the constant part of a job's record, which is written once.
std::string encodeJob(const JobRecord& it);
JobRecord decodeJob(std::string_view text);

//! Encodes the mutable part of a job's record: its state and progress.
std::string encodeProgress(const JobRecord& it);
//! Adds the progress to a record whose constant part was decoded before.
void decodeProgress(std::string_view text, JobRecord& record);

} // namespace sardinerun::workflow

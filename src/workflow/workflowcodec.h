#pragma once

#include "workflow/workflowtypes.h"

#include <json/value.h>
#include <string>
#include <string_view>

//! JSON of what is kept about workflows. Decoders throw codec::DecodeError.
namespace sardinerun::workflow {

Json::Value encodeSpec(const JobSpec& it);
JobSpec decodeSpec(const Json::Value& from);

//! The fixed part of a job's record; written once.
std::string encodeJob(const JobRecord& it);
JobRecord decodeJob(std::string_view text);

//! The part that changes: state and progress.
std::string encodeProgress(const JobRecord& it);
//! Adds the progress to a record whose fixed part was read.
void decodeProgress(std::string_view text, JobRecord& record);

} // namespace sardinerun::workflow

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

//! Encodes the mutable part of a job's record: its state and progress. Failures are included only if they are not
//! stored separately.
std::string encodeProgress(const JobRecord& it);
//! Adds the progress to a record whose constant part was decoded before.
void decodeProgress(std::string_view text, JobRecord& record);

//! Tasks of a job whose failures are stored in one row.
using FailureBlock = core::Quantity<struct FailureBlockTag>;

//! Returns whether the failures of the job's tasks may not fit into the row of its progress. They are then stored in
//! one row for each block of tasks.
bool storesFailuresSeparately(const JobRecord& it);
//! Returns the block of a task.
FailureBlock failureBlockOf(const JobRecord& it, std::size_t stage, std::size_t task);
//! Returns the blocks of tasks with failures that count.
std::vector<FailureBlock> failureBlocks(const JobRecord& it);
std::string encodeFailures(const JobRecord& it, FailureBlock block);
//! Adds the failures of a block to a record whose constant part was decoded before.
void decodeFailures(std::string_view text, JobRecord& record);

} // namespace sardinerun::workflow

#pragma once

#include "core/types.h"
#include "jobs/jobtypes.h"

#include <json/value.h>
#include <optional>
#include <string>

namespace sardinerun::api {

//! Reads the body of a submission. The id, the team and the moment come from the request. Throws codec::DecodeError.
jobs::JobSpec readSubmission(const std::string& body, core::WallTime now);

//! Id of a job: from the team and key when there is one, so that a resend names the same job; else random.
core::JobId jobIdOf(const core::TeamId& team, const std::optional<std::string>& key);

//! What callers see of a job.
Json::Value writeJob(const jobs::JobStatus& status);

} // namespace sardinerun::api

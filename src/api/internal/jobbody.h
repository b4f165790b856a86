#pragma once

#include "core/types.h"
#include "jobs/jobtypes.h"

#include <json/value.h>
#include <optional>
#include <string>

namespace sardinerun::api {

//! Decodes the body of a submission; the ID and the team are not in the body. `now` is the time of the request, from
//! which the deadline is counted. Throws codec::DecodeError.
jobs::JobSpec readSubmission(const std::string& body, core::WallTime now);

//! Returns the ID of a new job: derived from the team and the idempotency key, so that a resend has the same ID; random
//! if there is no key.
core::JobId jobIdOf(const core::TeamId& team, const std::optional<std::string>& key);

//! Encodes the state of a job for callers.
Json::Value writeJob(const jobs::JobStatus& status);

} // namespace sardinerun::api

#pragma once

#include "jobs/jobtypes.h"

#include <optional>
#include <string>

namespace sardinerun::partition {

//! What an owner needs to know of an attempt that it finds on a worker. The worker keeps it as a label.
struct AttemptLabel {
    jobs::JobKind kind = jobs::JobKind::Batch;
    jobs::Urgency urgency = jobs::Urgency::Normal;
    bool isPreemptible = false;
};

std::string writeLabel(const AttemptLabel& label);
//! A label that cannot be read gives the careful values: normal urgency, not preemptible.
AttemptLabel readLabel(const std::string& text);

} // namespace sardinerun::partition

#pragma once

#include "jobs/jobtypes.h"

#include <optional>
#include <string>

namespace sardinerun::partition {

//! Properties of an attempt that a new owner reads from the worker, which stores them as the label of the attempt.
struct AttemptLabel {
    jobs::JobKind kind = jobs::JobKind::Batch;
    jobs::Urgency urgency = jobs::Urgency::Normal;
    bool isPreemptible = false;
};

std::string encodeLabel(const AttemptLabel& label);
//! Returns conservative values for a label that cannot be decoded: normal urgency, not preemptible.
AttemptLabel decodeLabel(const std::string& text);

} // namespace sardinerun::partition

#pragma once

#include "workflow/workflowtypes.h"

#include <cstddef>

//! Estimates of the memory that a leader needs for the jobs that it holds.
namespace sardinerun::scheduling {

//! Jobs beyond this are refused. It does not depend on the leader's VM, since a smaller one may lead next and has to
//! hold the same jobs.
constexpr std::size_t maxJobBytes = std::size_t(32) << 20;
//! A job that has ended, of which only the state is kept, for the time of `jobRetention`.
constexpr std::size_t endedJobBytes = 1024;

//! Returns the memory for a job that has not ended.
std::size_t jobBytesOf(const workflow::JobSpec& spec);

} // namespace sardinerun::scheduling

#pragma once

#include "core/types.h"

#include <string>

//! Claims on non-repeatable requests: each request runs at most once, and a resend receives the same answer.
namespace sardinerun::once {

//! Identifies a non-repeatable request: the idempotency key of the caller within its team.
struct RequestKey {
    core::TeamId team;
    core::IdempotencyKey key;
    auto operator<=>(const RequestKey&) const = default;
    std::string text() const { return team.value() + "/" + key.value(); }
};

//! The answer of a request, stored for resends.
struct StoredAnswer {
    int status = 0;
    std::string contentType;
    std::string body;
    bool isBodyStored = true; //!< false: the body was too large to store
    bool operator==(const StoredAnswer&) const = default;
};

//! Identifies one claim, so that only the claimant can end it.
using ClaimId = core::Strong<struct ClaimTag, std::string>;

enum class ClaimState {
    Open, //!< claimed: the request may be about to run, be running or have run
    Done, //!< the request ran and its answer is recorded
    Abandoned //!< the request certainly did not run; the key may be claimed again
};

//! The persisted state of a claim, from which a later owner of the partition restores it.
struct ClaimSnapshot {
    RequestKey key;
    std::uint64_t fingerprint = 0; //!< hash of method, target and body
    ClaimId claim; //!< the claim that was granted
    core::WallTime claimedAt;
    ClaimState state = ClaimState::Open;
    StoredAnswer answer;
    bool operator==(const ClaimSnapshot&) const = default;
};

enum class ClaimResult {
    Granted, //!< the claimant runs the request; no other node does
    Replayed, //!< the request ran before and its answer is returned
    InProgress, //!< another claim on the request has no answer yet
    Unknown, //!< the request may have run; its outcome cannot be determined any more
    Mismatch, //!< the key belongs to a request with another fingerprint
    NotPersisted //!< the claim could not be persisted, so the request does not run
};

} // namespace sardinerun::once

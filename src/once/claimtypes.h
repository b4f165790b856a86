#pragma once

#include "core/types.h"

#include <string>

//! Requests that may not be repeated: each runs at most once, and a resend gets the same answer.
namespace sardinerun::once {

//! Names a request that may not be repeated: the caller's key within its team.
struct RequestKey {
    core::TeamId team;
    core::IdempotencyKey key;
    auto operator<=>(const RequestKey&) const = default;
    std::string text() const { return team.value() + "/" + key.value(); }
};

//! The answer that a resend gets again.
struct StoredAnswer {
    int status = 0;
    std::string contentType;
    std::string body;
    bool isBodyStored = true; //!< false: it was too large to keep
    bool operator==(const StoredAnswer&) const = default;
};

//! Names one claim, so that only who made it can end it.
using ClaimId = core::Strong<struct ClaimTag, std::string>;

enum class ClaimState {
    Open, //!< claimed: it may run, may have run, or be running
    Done, //!< it ran, and its answer is known
    Abandoned //!< it certainly did not run; the key may be claimed again
};

//! What must outlive the owner of a key.
struct ClaimSnapshot {
    RequestKey key;
    std::uint64_t fingerprint = 0; //!< of method, target and body
    ClaimId claim; //!< the one that was granted
    core::WallTime claimedAt;
    ClaimState state = ClaimState::Open;
    StoredAnswer answer;
    bool operator==(const ClaimSnapshot&) const = default;
};

enum class ClaimResult {
    Granted, //!< run it now; no other node will
    Replayed, //!< it ran before; here is its answer
    InProgress, //!< another claim of it has no answer yet
    Unknown, //!< it may have run, and nobody will learn more
    Mismatch, //!< the key was used for another request
    NotPersisted //!< the claim could not be kept: it does not run
};

} // namespace sardinerun::once

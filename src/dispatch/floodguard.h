#pragma once

#include "core/types.h"

#include <deque>
#include <optional>
#include <unordered_map>

namespace sardinerun::dispatch {

//! Decides which submissions a node refuses itself, since the leader has just refused one of the same team for being
//! over its rate. So a flood costs the leader about three submissions a second for each node and team.
//!
//! A job whose id this node has sent to the leader before may have been accepted, so it is never refused here.
class FloodGuard {
public:
    //! Returns how long the caller has to wait if the submission is refused, or nothing if it is to be sent.
    std::optional<core::Duration> refuse(const core::TeamId& team, const core::JobId& job, core::TimePoint now);

    //! The submission is sent to the leader.
    void onSent(const core::JobId& job, core::TimePoint now);
    //! The leader has refused it, as the team is over its rate. `retryAfter`: the caller may come back then.
    void onOverRate(const core::TeamId& team, core::Duration retryAfter, core::TimePoint now);
    //! The leader has answered it otherwise.
    void onOtherAnswer(const core::TeamId& team, const core::JobId& job);
    //! One sending of the job has certainly not taken effect.
    void onNotDone(const core::JobId& job);

private:
    //! A team that was over its rate lately.
    struct Refusing {
        core::TimePoint until {}; //!< the next submission is sent, to ask the leader again
        core::TimePoint retryAt {}; //!< by the leader's last refusal
        core::JobId question; //!< the submission that was sent to ask again; empty: none
    };
    struct SentJob {
        core::JobId job;
        core::TimePoint sentAt {};
    };
    //! Sendings of one job.
    struct Sendings {
        std::size_t count = 0; //!< those that may have taken effect
        core::TimePoint lastAt {};
    };
    void forgetOld(core::TimePoint now);

    std::unordered_map<core::TeamId, Refusing> m_refusing;
    std::unordered_map<core::JobId, Sendings> m_sent;
    std::deque<SentJob> m_sentOrder; //!< oldest first
    core::TimePoint m_incompleteUntil {}; //!< until then `m_sent` may lack a job that was sent lately
};

} // namespace sardinerun::dispatch

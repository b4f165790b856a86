#pragma once

#include "partition/partitiontypes.h"

#include <map>
#include <optional>

namespace sardinerun::partition {

//! A request to a capacity partition on behalf of a gang.
struct GangRequest {
    enum class Kind { ReserveAll, ReserveSome, Commit, Release };
    Kind kind = Kind::ReserveAll;
    core::PartitionId to;
    protocol::PlacementId id;
    std::vector<protocol::TaskAttempt> tasks;
};

//! Requests and changes of state that result from an event of a gang.
struct GangActions {
    std::vector<GangRequest> requests;
    std::vector<protocol::TaskAttempt> started; //!< now running in partition `startedAt`
    core::PartitionId startedAt;
    bool isAllStarted = false; //!< every task has started
    bool isAborted = false; //!< no task was started; the caller retries later
    bool isPartlyStarted = false; //!< some tasks started and others cannot: the caller stops all and retries
};

//! Reserves room for all tasks of a job, then starts them together, or releases all reservations.
//!
//! It first requests room for the whole gang from single partitions, which never makes a gang wait for another. If none
//! has enough, it reserves room partition by partition, always in ascending order, so that two gangs cannot deadlock.
//! Reservations also expire by themselves.
class Gang {
public:
    using NextId = std::function<protocol::PlacementId()>;

    //! `wholeCandidates` may have room for all tasks; `pieceCandidates` may have room for some, in ascending order.
    Gang(std::vector<protocol::TaskAttempt> tasks, std::vector<core::PartitionId> wholeCandidates,
        std::vector<core::PartitionId> pieceCandidates, NextId nextId);

    GangActions begin();
    GangActions onPlaceAnswer(const protocol::PlaceAnswer& answer);
    GangActions onCommitAnswer(const protocol::CommitAnswer& answer);
    //! Returns the requests without an answer, which the caller sends again.
    std::vector<GangRequest> unansweredRequests() const;

private:
    enum class Phase { ReserveWhole, ReservePieces, Committing, Finished };
    struct Reservation {
        core::PartitionId partition;
        std::vector<protocol::TaskAttempt> tasks;
        bool isAnswered = false;
        bool isStarted = false;
    };

    GangActions requestNext();
    GangActions commit();
    GangActions abort();

    std::vector<protocol::TaskAttempt> m_remaining;
    std::vector<core::PartitionId> m_wholeCandidates;
    std::vector<core::PartitionId> m_pieceCandidates;
    NextId m_nextId;
    Phase m_phase = Phase::ReserveWhole;
    std::size_t m_nextCandidate = 0;
    std::optional<GangRequest> m_pendingRequest;
    std::map<protocol::PlacementId, Reservation> m_reservations;
};

} // namespace sardinerun::partition

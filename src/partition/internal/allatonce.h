#pragma once

#include "partition/partitiontypes.h"

#include <map>
#include <optional>

namespace sardinerun::partition {

//! A request to a partition for an all-at-once job.
struct AllAtOnceRequest {
    enum class Kind { ReserveAll, ReserveSome, Commit, Release };
    Kind kind = Kind::ReserveAll;
    core::PartitionId to;
    protocol::PlacementId id;
    std::vector<protocol::TaskAttempt> tasks;
};

//! What a step of an all-at-once job asks for.
struct AllAtOnceStep {
    std::vector<AllAtOnceRequest> requests;
    std::vector<protocol::TaskAttempt> started; //!< are running now, in `startedAt`
    core::PartitionId startedAt;
    bool isDone = false; //!< all started
    bool isGivenUp = false; //!< nothing was started; try again later
    bool isBroken = false; //!< some were started and others cannot be: stop them and try again
};

//! Holds room for all tasks of a job, then starts them together, or releases all.
//!
//! First it asks single partitions for room for all, which never makes one job wait for another. Only then it holds
//! room piece by piece, always in ascending order of partitions, so that two such jobs cannot wait for each other;
//! holds also lapse by themselves.
class Gang {
public:
    using NextId = std::function<protocol::PlacementId()>;

    //! `whole`: partitions that may have room for all; `pieces`: all that may have some, ascending.
    Gang(std::vector<protocol::TaskAttempt> tasks, std::vector<core::PartitionId> whole,
        std::vector<core::PartitionId> pieces, NextId nextId);

    AllAtOnceStep begin();
    AllAtOnceStep onPlaceAnswer(const protocol::PlaceAnswer& answer);
    AllAtOnceStep onCommitAnswer(const protocol::CommitAnswer& answer);
    //! Requests without an answer, to be sent again.
    std::vector<AllAtOnceRequest> unanswered() const;

private:
    enum class Phase { HoldWhole, HoldPieces, Committing, Over };
    struct Held {
        core::PartitionId at;
        std::vector<protocol::TaskAttempt> tasks;
        bool isAnswered = false;
        bool isStarted = false;
    };

    AllAtOnceStep askNext();
    AllAtOnceStep commit();
    AllAtOnceStep giveUp();

    std::vector<protocol::TaskAttempt> m_remaining;
    std::vector<core::PartitionId> m_whole;
    std::vector<core::PartitionId> m_pieces;
    NextId m_nextId;
    Phase m_phase = Phase::HoldWhole;
    std::size_t m_next = 0;
    std::optional<AllAtOnceRequest> m_asked;
    std::map<protocol::PlacementId, Held> m_held;
};

} // namespace sardinerun::partition

#pragma once

#include "fleet/iworkerorders.h"
#include "runtime/iloop.h"

#include <functional>
#include <list>
#include <map>
#include <memory>

namespace sardinerun::scheduling {

//! Urgency and expected cost of an advice request.
struct AdviceRank {
    int priority = 0; //!< lower comes first
    core::TimePoint startBy; //!< among equal priorities, earlier comes first
    core::Duration cost {}; //!< time that the advice service is expected to take
};

//! Distributes advice requests over all nodes, since the advice service handles one request per machine at a time.
//!
//! Each node polls for a request, sends it to the service, and returns the result with its next poll. Some nodes are
//! reserved for short requests, so that long ones don't delay urgent short ones.
class AdviceQueue : public std::enable_shared_from_this<AdviceQueue> {
public:
    using AnswerCallback = std::function<void(fleet::AdviceResult)>;
    using RequestId = std::uint64_t; //!< 0: none
    //! Receives the assigned request, or id 0 when the poll timed out.
    using AssignCallback = std::function<void(RequestId, const fleet::AdviceRequest&)>;

    static std::shared_ptr<AdviceQueue> create(runtime::ILoopPtr loop);

    //! Queues a request; `callback` receives its result.
    void enqueue(fleet::AdviceRequest request, AdviceRank rank, AnswerCallback callback);
    //! Registers a poll of a node; it replaces an earlier poll of that node.
    void poll(const core::NodeId& node, AssignCallback assign);
    //! Completes an assigned request; ignored if the request has timed out.
    void answer(RequestId id, const fleet::AdviceResult& result);

    std::size_t waiting() const { return m_waiting.size(); }
    //! Returns the number of nodes to which a request of this cost could be assigned now.
    std::size_t freeNodes(core::Duration cost) const;
    //! Returns whether so many nodes are free that one step may use several of them.
    bool hasSpareNodes() const;

private:
    struct QueuedRequest {
        RequestId id = 0;
        fleet::AdviceRequest request;
        AdviceRank rank;
        AnswerCallback callback;
    };
    struct InFlightRequest {
        QueuedRequest request;
        core::TimePoint deadline {};
    };
    struct Poll {
        core::NodeId node;
        AssignCallback assign;
        core::TimePoint deadline {};
    };
    explicit AdviceQueue(runtime::ILoopPtr loop)
        : m_loop(std::move(loop))
    {
    }
    void assignRequests();
    bool canAssign(core::Duration cost) const;
    void checkTimeouts();

    runtime::ILoopPtr m_loop;
    std::list<QueuedRequest> m_waiting; //!< sorted by rank
    std::map<RequestId, InFlightRequest> m_inFlight;
    std::list<Poll> m_polls;
    RequestId m_lastId = 0;
    bool m_isCheckScheduled = false;
};

using AdviceQueuePtr = std::shared_ptr<AdviceQueue>;

} // namespace sardinerun::scheduling

#pragma once

#include "fleet/iworkerorders.h"
#include "runtime/iloop.h"

#include <functional>
#include <list>
#include <map>
#include <memory>

namespace sardinerun::scheduling {

//! How urgent a question is, and what it is expected to cost.
struct AdviceRank {
    int priority = 0; //!< lower comes first
    core::TimePoint startBy; //!< among equal priorities, earlier comes first
    core::Duration cost {};
};

//! Spreads questions to the advice service over all nodes, since it serves one question of a machine at a time.
//!
//! Nodes lend their turn: each asks for a question, carries it to the service, and brings the answer with its next
//! request. Long questions never take all of them, so a short urgent one finds a free node.
class AdviceQueue : public std::enable_shared_from_this<AdviceQueue> {
public:
    using Answered = std::function<void(fleet::AdviceResult)>;
    using QuestionId = std::uint64_t; //!< 0: none
    //! Told the question, or its id 0 when there was none for a while.
    using Lent = std::function<void(QuestionId, const fleet::AdviceRequest&)>;

    static std::shared_ptr<AdviceQueue> create(runtime::ILoopPtr loop);

    void ask(fleet::AdviceRequest question, AdviceRank rank, Answered answered);
    //! A node offers its turn; one offer of a node at a time.
    void lend(const core::NodeId& node, Lent lent);
    void answer(QuestionId id, const fleet::AdviceResult& result);

    std::size_t waiting() const { return m_waiting.size(); }
    //! Nodes that could carry a question of this cost now.
    std::size_t freeNodes(core::Duration cost) const;

private:
    struct Question {
        QuestionId id = 0;
        fleet::AdviceRequest question;
        AdviceRank rank;
        Answered answered;
    };
    struct Carried {
        Question question;
        core::TimePoint until {};
    };
    struct Offer {
        core::NodeId node;
        Lent lent;
        core::TimePoint until {};
    };
    explicit AdviceQueue(runtime::ILoopPtr loop)
        : m_loop(std::move(loop))
    {
    }
    void match();
    bool mayCarry(core::Duration cost) const;
    void check();

    runtime::ILoopPtr m_loop;
    std::list<Question> m_waiting; //!< in order of their rank
    std::map<QuestionId, Carried> m_carried;
    std::list<Offer> m_offers;
    QuestionId m_lastId = 0;
    bool m_isCheckSet = false;
};

using AdviceQueuePtr = std::shared_ptr<AdviceQueue>;

} // namespace sardinerun::scheduling

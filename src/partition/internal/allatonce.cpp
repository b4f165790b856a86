#include "partition/internal/allatonce.h"

#include <algorithm>

namespace sardinerun::partition {

Gang::Gang(std::vector<protocol::TaskAttempt> tasks, std::vector<core::PartitionId> whole,
    std::vector<core::PartitionId> pieces, NextId nextId)
    : m_remaining(std::move(tasks))
    , m_whole(std::move(whole))
    , m_pieces(std::move(pieces))
    , m_nextId(std::move(nextId))
{
}

AllAtOnceStep Gang::begin()
{
    return askNext();
}

AllAtOnceStep Gang::askNext()
{
    if (m_phase == Phase::HoldWhole && m_next >= m_whole.size()) {
        m_phase = Phase::HoldPieces;
        m_next = 0;
    }
    const auto& partitions = m_phase == Phase::HoldWhole ? m_whole : m_pieces;
    if (m_next >= partitions.size())
        return giveUp();
    const auto kind
        = m_phase == Phase::HoldWhole ? AllAtOnceRequest::Kind::ReserveAll : AllAtOnceRequest::Kind::ReserveSome;
    m_asked = AllAtOnceRequest { kind, partitions[m_next++], m_nextId(), m_remaining };
    AllAtOnceStep step;
    step.requests.push_back(*m_asked);
    return step;
}

AllAtOnceStep Gang::onPlaceAnswer(const protocol::PlaceAnswer& answer)
{
    if (!m_asked || m_asked->id != answer.id)
        return {};
    m_asked.reset();
    if (!answer.accepted.empty()) {
        m_held[answer.id] = { answer.from, answer.accepted };
        std::erase_if(m_remaining, [&answer](const protocol::TaskAttempt& it) {
            return std::find(answer.accepted.begin(), answer.accepted.end(), it) != answer.accepted.end();
        });
    }
    return m_remaining.empty() ? commit() : askNext();
}

AllAtOnceStep Gang::commit()
{
    m_phase = Phase::Committing;
    AllAtOnceStep step;
    for (const auto& [id, held] : m_held)
        step.requests.push_back({ AllAtOnceRequest::Kind::Commit, held.at, id, held.tasks });
    return step;
}

AllAtOnceStep Gang::giveUp()
{
    m_phase = Phase::Over;
    AllAtOnceStep step;
    step.isGivenUp = true;
    for (const auto& [id, held] : m_held)
        step.requests.push_back({ AllAtOnceRequest::Kind::Release, held.at, id, held.tasks });
    m_held.clear();
    return step;
}

AllAtOnceStep Gang::onCommitAnswer(const protocol::CommitAnswer& answer)
{
    AllAtOnceStep step;
    const auto it = m_held.find(answer.id);
    if (m_phase != Phase::Committing || it == m_held.end() || it->second.isAnswered)
        return step;
    it->second.isAnswered = true;
    it->second.isStarted = answer.isStarted;
    if (answer.isStarted) {
        step.started = it->second.tasks;
        step.startedAt = it->second.at;
    }
    const auto isAnswered = [](const auto& held) { return held.second.isAnswered; };
    if (!std::all_of(m_held.begin(), m_held.end(), isAnswered))
        return step;
    m_phase = Phase::Over;
    const auto isStarted = [](const auto& held) { return held.second.isStarted; };
    step.isDone = std::all_of(m_held.begin(), m_held.end(), isStarted);
    step.isBroken = !step.isDone;
    return step;
}

std::vector<AllAtOnceRequest> Gang::unanswered() const
{
    std::vector<AllAtOnceRequest> requests;
    if (m_asked)
        requests.push_back(*m_asked);
    if (m_phase != Phase::Committing)
        return requests;
    for (const auto& [id, held] : m_held) {
        if (!held.isAnswered)
            requests.push_back({ AllAtOnceRequest::Kind::Commit, held.at, id, held.tasks });
    }
    return requests;
}

} // namespace sardinerun::partition

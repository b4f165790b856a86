#include "partition/internal/gang.h"

#include <algorithm>

namespace sardinerun::partition {

Gang::Gang(std::vector<protocol::TaskAttempt> tasks, std::vector<core::PartitionId> wholeCandidates,
    std::vector<core::PartitionId> pieceCandidates, NextId nextId)
    : m_remaining(std::move(tasks))
    , m_wholeCandidates(std::move(wholeCandidates))
    , m_pieceCandidates(std::move(pieceCandidates))
    , m_nextId(std::move(nextId))
{
}

GangActions Gang::begin()
{
    return requestNext();
}

GangActions Gang::requestNext()
{
    if (m_phase == Phase::ReserveWhole && m_nextCandidate >= m_wholeCandidates.size()) {
        m_phase = Phase::ReservePieces;
        m_nextCandidate = 0;
    }
    const auto& candidates = m_phase == Phase::ReserveWhole ? m_wholeCandidates : m_pieceCandidates;
    if (m_nextCandidate >= candidates.size())
        return abort();
    const auto kind = m_phase == Phase::ReserveWhole ? GangRequest::Kind::ReserveAll : GangRequest::Kind::ReserveSome;
    m_pendingRequest = GangRequest { kind, candidates[m_nextCandidate++], m_nextId(), m_remaining };
    GangActions actions;
    actions.requests.push_back(*m_pendingRequest);
    return actions;
}

GangActions Gang::onPlaceAnswer(const protocol::PlaceAnswer& answer)
{
    if (!m_pendingRequest || m_pendingRequest->id != answer.id)
        return {};
    m_pendingRequest.reset();
    if (!answer.accepted.empty()) {
        m_reservations[answer.id] = { answer.from, answer.accepted };
        std::erase_if(m_remaining, [&answer](const protocol::TaskAttempt& it) {
            return std::find(answer.accepted.begin(), answer.accepted.end(), it) != answer.accepted.end();
        });
    }
    return m_remaining.empty() ? commit() : requestNext();
}

GangActions Gang::commit()
{
    m_phase = Phase::Committing;
    GangActions actions;
    for (const auto& [id, reservation] : m_reservations)
        actions.requests.push_back({ GangRequest::Kind::Commit, reservation.partition, id, reservation.tasks });
    return actions;
}

GangActions Gang::abort()
{
    m_phase = Phase::Finished;
    GangActions actions;
    actions.isAborted = true;
    for (const auto& [id, reservation] : m_reservations)
        actions.requests.push_back({ GangRequest::Kind::Release, reservation.partition, id, reservation.tasks });
    m_reservations.clear();
    return actions;
}

GangActions Gang::onCommitAnswer(const protocol::CommitAnswer& answer)
{
    GangActions actions;
    const auto it = m_reservations.find(answer.id);
    if (m_phase != Phase::Committing || it == m_reservations.end() || it->second.isAnswered)
        return actions;
    it->second.isAnswered = true;
    it->second.isStarted = answer.isStarted;
    if (answer.isStarted) {
        actions.started = it->second.tasks;
        actions.startedAt = it->second.partition;
    }
    const auto isAnswered = [](const auto& reservation) { return reservation.second.isAnswered; };
    if (!std::all_of(m_reservations.begin(), m_reservations.end(), isAnswered))
        return actions;
    m_phase = Phase::Finished;
    const auto isStarted = [](const auto& reservation) { return reservation.second.isStarted; };
    actions.isAllStarted = std::all_of(m_reservations.begin(), m_reservations.end(), isStarted);
    actions.isPartlyStarted = !actions.isAllStarted;
    return actions;
}

std::vector<GangRequest> Gang::unansweredRequests() const
{
    std::vector<GangRequest> requests;
    if (m_pendingRequest)
        requests.push_back(*m_pendingRequest);
    if (m_phase != Phase::Committing)
        return requests;
    for (const auto& [id, reservation] : m_reservations) {
        if (!reservation.isAnswered)
            requests.push_back({ GangRequest::Kind::Commit, reservation.partition, id, reservation.tasks });
    }
    return requests;
}

} // namespace sardinerun::partition

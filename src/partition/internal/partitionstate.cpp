#include "partition/internal/partitionstate.h"

namespace sardinerun::partition {

namespace {

constexpr const char* jobPrefix = "job/";
//! Limit on the rounds in which messages between the home and the capacity of this partition are delivered.
constexpr int maxLocalDeliveryRounds = 1000;

core::JobId jobOf(const acceptance::ItemId& item)
{
    return core::JobId(item.value().substr(std::string_view(jobPrefix).size()));
}

} // namespace

bool isJobItem(const acceptance::ItemId& item)
{
    return item.value().starts_with(jobPrefix);
}

Partition::State::Handler Partition::State::handlerOf(const protocol::Message& message)
{
    // In the order of protocol::Message. Answers to callers go to nodes, not to partitions.
    static constexpr std::array<Handler, std::variant_size_v<protocol::Message>> handlers {
        &State::onSubmit,
        &State::ignore, // SubmitAnswer
        &State::onCancel,
        &State::ignore, // CancelAnswer
        &State::onRead,
        &State::ignore, // JobsAnswer
        &State::onPlace, &State::onPlaceAnswer, &State::onCommit, &State::onCommitAnswer, &State::onRelease,
        &State::onAttemptEnded, &State::onEndsPersisted, &State::onStop, &State::onRequestInventory,
        &State::onInventory, &State::onHint, &State::onClaim,
        &State::ignore, // ClaimAnswer
        &State::onFinish,
        &State::ignore, // FinishAnswer
        &State::ignore, // RefreshNow
    };
    return handlers[message.index()];
}

void Partition::State::refreshFleet()
{
    const placement::Ledger& ledger = capacity.ledger();
    fleet.homeCapacity = ledger.total();
    for (const jobs::Urgency it : jobs::allUrgencies)
        fleet.shares[jobs::indexOf(it)] = ledger.shareOf(it);
    home.setFleet(fleet);
}

void Partition::State::onLogEvents(const acceptance::LogEvents& events, EventTime at)
{
    isOwnershipLost = isOwnershipLost || events.isOwnershipLost;
    for (const acceptance::PersistedRecord& it : events.persisted) {
        if (isJobItem(it.item))
            home.onPersisted(jobOf(it.item), it.revision, at, effects);
        else
            claims.onPersisted(it.item, it.revision, effects);
    }
    for (const acceptance::ItemId& it : events.notPersisted) {
        if (isJobItem(it))
            home.onNotPersisted(jobOf(it), effects);
        else
            claims.onNotPersisted(it, effects);
    }
}

void Partition::State::pollLog(EventTime at)
{
    const acceptance::GroupLog::Action action = log.next(at.now);
    if (action.commit)
        effects.push_back(CommitToStore { *action.commit });
    if (action.readPrefix)
        effects.push_back(ReadStore { *action.readPrefix });
}

//! Delivers messages between the home and the capacity of this partition immediately; appends other effects to `out`.
void Partition::State::deliverLocally(EventTime at, Effects& out)
{
    for (int n = 0; n < maxLocalDeliveryRounds && !effects.empty(); ++n) {
        Effects batch = std::exchange(effects, {});
        for (Effect& it : batch) {
            auto* send = std::get_if<SendMessage>(&it);
            const auto* to = send ? std::get_if<core::PartitionId>(&send->envelope.to) : nullptr;
            if (to && *to == ownership.id)
                (this->*handlerOf(send->envelope.message))(send->envelope.message, at);
            else
                out.push_back(std::move(it));
        }
    }
}

} // namespace sardinerun::partition

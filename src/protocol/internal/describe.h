#pragma once

#include "protocol/messages.h"

//! The fields of each message, listed once for encoding and decoding.
//!
//! describe() calls `visit(name, field)` for each field; the visitor encodes or decodes the field.
namespace sardinerun::protocol {

template <class Visitor> void describe(Visitor& visit, HomeEpoch& it)
{
    visit("partition", it.partition);
    visit("epoch", it.epoch);
}

template <class Visitor> void describe(Visitor& visit, Requester& it)
{
    visit("node", it.node);
    visit("incarnation", it.incarnation);
    visit("token", it.token);
}

template <class Visitor> void describe(Visitor& visit, TaskAttempt& it)
{
    visit("task", it.task);
    visit("attempt", it.attempt);
}

template <class Visitor> void describe(Visitor& visit, admission::Refusal& it)
{
    visit("reason", it.reason);
    visit("detail", it.detail);
    visit("retryAfter", it.retryAfter);
}

template <class Visitor> void describe(Visitor& visit, once::RequestKey& it)
{
    visit("team", it.team);
    visit("key", it.key);
}

template <class Visitor> void describe(Visitor& visit, SubmitJob& it)
{
    visit("asker", it.requester);
    visit("spec", it.spec);
}

template <class Visitor> void describe(Visitor& visit, SubmitAnswer& it)
{
    visit("token", it.token);
    visit("outcome", it.outcome);
    visit("job", it.job);
    visit("refusal", it.refusal);
}

template <class Visitor> void describe(Visitor& visit, CancelJobs& it)
{
    visit("asker", it.requester);
    visit("team", it.team);
    visit("jobs", it.jobs);
    visit("workload", it.workload);
}

template <class Visitor> void describe(Visitor& visit, CancelAnswer& it)
{
    visit("token", it.token);
    visit("cancelled", it.cancelled);
}

template <class Visitor> void describe(Visitor& visit, ReadJobs& it)
{
    visit("asker", it.requester);
    visit("team", it.team);
    visit("job", it.job);
    visit("after", it.after);
    visit("limit", it.limit);
}

template <class Visitor> void describe(Visitor& visit, JobsAnswer& it)
{
    visit("token", it.token);
    visit("jobs", it.jobs);
}

template <class Visitor> void describe(Visitor& visit, PlaceTasks& it)
{
    visit("from", it.from);
    visit("capacity", it.to);
    visit("toEpoch", it.toEpoch);
    visit("id", it.id);
    visit("mode", it.mode);
    visit("isResend", it.isResend);
    visit("spec", it.spec);
    visit("tasks", it.tasks);
}

template <class Visitor> void describe(Visitor& visit, PlaceAnswer& it)
{
    visit("from", it.from);
    visit("fromEpoch", it.fromEpoch);
    visit("home", it.to);
    visit("id", it.id);
    visit("job", it.job);
    visit("taken", it.accepted);
}

template <class Visitor> void describe(Visitor& visit, CommitReservation& it)
{
    visit("from", it.from);
    visit("capacity", it.to);
    visit("id", it.id);
    visit("job", it.job);
    visit("tasks", it.tasks);
}

template <class Visitor> void describe(Visitor& visit, CommitAnswer& it)
{
    visit("from", it.from);
    visit("fromEpoch", it.fromEpoch);
    visit("home", it.to);
    visit("id", it.id);
    visit("job", it.job);
    visit("isStarted", it.isStarted);
}

template <class Visitor> void describe(Visitor& visit, ReleaseReservation& it)
{
    visit("from", it.from);
    visit("capacity", it.to);
    visit("id", it.id);
}

template <class Visitor> void describe(Visitor& visit, AttemptEnded& it)
{
    visit("from", it.from);
    visit("home", it.home);
    visit("id", it.id);
    visit("state", it.state);
    visit("isLost", it.isLost);
    visit("ran", it.elapsed);
}

template <class Visitor> void describe(Visitor& visit, EndsPersisted& it)
{
    visit("from", it.from);
    visit("capacity", it.to);
    visit("attempts", it.attempts);
}

template <class Visitor> void describe(Visitor& visit, StopJobs& it)
{
    visit("from", it.from);
    visit("capacity", it.to);
    visit("jobs", it.jobs);
}

template <class Visitor> void describe(Visitor& visit, RequestInventory& it)
{
    visit("from", it.from);
    visit("capacity", it.to);
}

template <class Visitor> void describe(Visitor& visit, Inventory& it)
{
    visit("from", it.from);
    visit("fromEpoch", it.fromEpoch);
    visit("home", it.to);
    visit("attempts", it.attempts);
}

template <class Visitor> void describe(Visitor& visit, RoomHint& it)
{
    visit("from", it.from);
    visit("fromEpoch", it.fromEpoch);
    visit("room", it.room);
    visit("largest", it.largest);
}

template <class Visitor> void describe(Visitor& visit, ClaimOnce& it)
{
    visit("asker", it.requester);
    visit("home", it.to);
    visit("key", it.key);
    visit("claim", it.claim);
    visit("fingerprint", it.fingerprint);
}

template <class Visitor> void describe(Visitor& visit, ClaimAnswer& it)
{
    visit("token", it.token);
    visit("result", it.result);
    visit("answer", it.answer);
}

template <class Visitor> void describe(Visitor& visit, FinishOnce& it)
{
    visit("asker", it.requester);
    visit("home", it.to);
    visit("key", it.key);
    visit("claim", it.claim);
    visit("isAbandoned", it.isAbandoned);
    visit("answer", it.answer);
}

template <class Visitor> void describe(Visitor& visit, FinishAnswer& it)
{
    visit("token", it.token);
}

template <class Visitor> void describe(Visitor&, RefreshNow&)
{
}

} // namespace sardinerun::protocol

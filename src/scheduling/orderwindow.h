#pragma once

#include "core/types.h"

#include <memory>
#include <optional>

namespace sardinerun::scheduling {

//! Limits the start orders of a leader that have no answer yet, by the time that answers take.
//!
//! Answers slow down when the leader's processor or its link is congested. Sending more orders then only lengthens the
//! queues, until timeouts repeat orders and undo work. The limit shrinks while answers are slow, as the window of a
//! congestion control does, and grows back while they are quick. Timeouts follow the observed time, too.
class OrderWindow : public std::enable_shared_from_this<OrderWindow> {
public:
    //! A start order that was sent. It counts until it is answered, or its worker is asked what became of it.
    class Order {
    public:
        Order(std::shared_ptr<OrderWindow> window, core::TimePoint sentAt);
        void settle(core::TimePoint now); //!< has an effect once

    private:
        std::shared_ptr<OrderWindow> m_window;
        core::TimePoint m_sentAt;
        bool m_isSettled = false;
    };
    using OrderPtr = std::shared_ptr<Order>;

    //! Records a start order and returns it; it must be settled.
    OrderPtr send(core::TimePoint now);

    //! Records a start order that was sent.
    void onSent() { ++m_inFlight; }
    //! Records that a start order was answered, or is no longer awaited, `took` after it was sent.
    void onSettled(core::Duration took, core::TimePoint now);

    //! Returns the number of further start orders that may be sent.
    std::size_t room() const { return m_inFlight < m_limit ? m_limit - m_inFlight : 0; }
    bool isFull() const { return room() == 0; }
    //! Records that work waits because the window is full, or the leader has no time to start it.
    void onLimited(core::TimePoint now) { m_limitedAt = now; }
    //! Returns the rate at which starts can be settled if the leader has limited them recently; nothing otherwise.
    std::optional<double> startsPerSecond(core::TimePoint now) const;

    //! Returns the median time until an answer. Congestion of the leader slows down all answers; some workers that
    //! never answer do not change the median.
    core::Duration answerTime() const { return m_answerTime; }
    //! Returns how long to wait for an answer before asking what became of the order.
    core::Duration answerTimeout(core::Duration min) const;

private:
    void adjustLimit(core::TimePoint now);

    std::size_t m_inFlight = 0;
    std::size_t m_limit = 512;
    core::Duration m_answerTime {}; //!< moving median
    core::TimePoint m_shrinkAgainAt {};
    core::TimePoint m_limitedAt {};
    core::TimePoint m_rateAt {}; //!< beginning of the interval in which settled orders are counted
    std::size_t m_settled = 0; //!< in that interval
    double m_rate = 0; //!< most orders settled per second in recent intervals
};

using OrderWindowPtr = std::shared_ptr<OrderWindow>;

} // namespace sardinerun::scheduling

#include "scheduling/orderwindow.h"

#include <algorithm>
#include <utility>

namespace sardinerun::scheduling {

namespace {

//! Divisor of the step by which the median moves towards an answer, and the smallest step.
constexpr int medianStepDivisor = 16;
constexpr core::Duration minMedianStep = std::chrono::microseconds(500);
//! Most answers taking longer means congestion; without it they take a few milliseconds.
constexpr core::Duration congestedAnswerTime = std::chrono::milliseconds(80);
constexpr std::size_t minLimit = 16;
constexpr std::size_t maxLimit = 2048;
//! Divisor by which the limit shrinks each time.
constexpr std::size_t shrinkDivisor = 2;
//! The limit shrinks once in this time at most, so that the effect shows before the next step.
constexpr core::Duration minShrinkInterval = std::chrono::milliseconds(100);
constexpr int timeoutFactor = 4; //!< of the median time of an answer
constexpr core::Duration maxAnswerTimeout = std::chrono::milliseconds(2000);
constexpr core::Duration rateInterval = std::chrono::milliseconds(500);
//! Share of the former rate that remains if fewer orders are settled in an interval. Fewer may just have been accepted;
//! if that counted as the rate, admission would refuse the more the less it accepts.
constexpr double rateDecay = 0.6;
//! How long the window counts as limiting after it last was.
constexpr core::Duration limitedMemory = std::chrono::milliseconds(1000);

} // namespace

OrderWindow::Order::Order(std::shared_ptr<OrderWindow> window, core::TimePoint sentAt)
    : m_window(std::move(window))
    , m_sentAt(sentAt)
{
}

void OrderWindow::Order::settle(core::TimePoint now)
{
    if (!std::exchange(m_isSettled, true))
        m_window->onSettled(now - m_sentAt, now);
}

OrderWindow::OrderPtr OrderWindow::send(core::TimePoint now)
{
    onSent();
    return std::make_shared<Order>(shared_from_this(), now);
}

void OrderWindow::onSettled(core::Duration took, core::TimePoint now)
{
    m_inFlight -= m_inFlight > 0 ? 1 : 0;
    const core::Duration step = std::max(m_answerTime / medianStepDivisor, minMedianStep);
    m_answerTime = took > m_answerTime ? std::min(m_answerTime + step, took) : std::max(m_answerTime - step, took);
    ++m_settled;
    if (now - m_rateAt >= rateInterval) {
        const core::Duration elapsed = now - m_rateAt;
        // After a pause the rate is not known.
        const double settled = double(m_settled) / std::chrono::duration<double>(elapsed).count();
        m_rate = elapsed < limitedMemory ? std::max(settled, m_rate * rateDecay) : 0;
        m_rateAt = now;
        m_settled = 0;
    }
    adjustLimit(now);
}

void OrderWindow::adjustLimit(core::TimePoint now)
{
    if (m_answerTime < congestedAnswerTime) {
        // Grows only if it is used, by one for each answer: it doubles in the time of one answer.
        if (m_inFlight * 2 >= m_limit)
            m_limit = std::min(m_limit + 1, maxLimit);
        return;
    }
    if (now < m_shrinkAgainAt)
        return;
    const std::size_t used = std::min(m_limit, m_inFlight + 1);
    m_limit = std::max(minLimit, used - used / shrinkDivisor);
    m_shrinkAgainAt = now + std::max(m_answerTime, minShrinkInterval);
}

std::optional<double> OrderWindow::startsPerSecond(core::TimePoint now) const
{
    const bool isLimiting = m_limitedAt != core::TimePoint() && now - m_limitedAt < limitedMemory;
    return isLimiting && m_rate > 0 ? std::optional(m_rate) : std::nullopt;
}

core::Duration OrderWindow::answerTimeout(core::Duration min) const
{
    return std::clamp(m_answerTime * timeoutFactor, min, std::max(min, maxAnswerTimeout));
}

} // namespace sardinerun::scheduling

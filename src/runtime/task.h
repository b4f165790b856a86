#pragma once

#include "runtime/iloop.h"

#include <functional>
#include <memory>
#include <type_traits>
#include <utility>

namespace sardinerun::runtime {

//! Receives messages of one type, one at a time, on the thread of its loop.
template <class Message> class IReceiver {
public:
    virtual ~IReceiver() = default;
    virtual void receive(Message message) = 0;
};

//! Address of a task. It is cheap to copy, and messages may be sent from any thread.
template <class Message> class Address {
public:
    Address() = default;
    Address(ILoopPtr loop, std::weak_ptr<IReceiver<Message>> receiver)
        : m_loop(std::move(loop))
        , m_receiver(std::move(receiver))
    {
    }

    //! Queues a message for the task; drops it if the task has ended.
    void send(Message message) const
    {
        if (!m_loop)
            return;
        m_loop->post([receiver = m_receiver, message = std::move(message)]() mutable {
            if (auto it = receiver.lock())
                it->receive(std::move(message));
        });
    }

private:
    ILoopPtr m_loop;
    std::weak_ptr<IReceiver<Message>> m_receiver;
};

//! Returns one answer to the requesting task, on that task's loop. Only the first answer is delivered; copies share it.
//!
//! If the last copy is dropped without an answer, `onDropped` provides it, so that no question stays open.
template <class Answer> class Reply {
public:
    Reply() = default;
    Reply(ILoopPtr loop, std::function<void(Answer)> function, std::function<Answer()> onDropped = {})
        : m_state(std::make_shared<State>(std::move(loop), std::move(function), std::move(onDropped)))
    {
    }

    void send(Answer answer) const
    {
        if (m_state)
            m_state->send(std::move(answer));
    }

private:
    struct State {
        State(ILoopPtr loop, std::function<void(Answer)> function, std::function<Answer()> onDropped)
            : loop(std::move(loop))
            , function(std::move(function))
            , onDropped(std::move(onDropped))
        {
        }
        State(const State&) = delete;
        State& operator=(const State&) = delete;
        ~State()
        {
            if (function && onDropped)
                send(onDropped());
        }
        void send(Answer answer)
        {
            if (!function)
                return;
            loop->post([function = std::exchange(function, nullptr), answer = std::move(answer)]() mutable {
                function(std::move(answer));
            });
        }

        ILoopPtr loop;
        std::function<void(Answer)> function; //!< empty once the answer was sent
        std::function<Answer()> onDropped;
    };
    std::shared_ptr<State> m_state;
};

//! Base class of a task, which owns its state, runs on one loop and communicates with other tasks by messages.
template <class Message> class Task : public IReceiver<Message>, public std::enable_shared_from_this<Task<Message>> {
public:
    explicit Task(ILoopPtr loop)
        : m_loop(std::move(loop))
    {
    }

    Address<Message> address() { return { m_loop, std::weak_ptr<IReceiver<Message>>(this->shared_from_this()) }; }

protected:
    const ILoopPtr& loop() const { return m_loop; }
    core::TimePoint now() const { return m_loop->now(); }

    //! Returns a reply that runs `function` on this task's loop, unless the task has ended by then.
    template <class Answer, class Function> Reply<Answer> replyHere(Function function)
    {
        auto self = this->weak_from_this();
        return Reply<Answer>(m_loop, [self, function = std::move(function)](Answer answer) mutable {
            if (auto task = self.lock())
                function(std::move(answer));
        });
    }

    //! Runs `function` on this task's loop once every `period`, until the task ends.
    void every(core::Duration period, std::function<void()> function)
    {
        m_loop->callAfter(period, [self = this->weak_from_this(), period, function = std::move(function)] {
            auto task = self.lock();
            if (!task)
                return;
            function();
            task->every(period, function);
        });
    }

private:
    ILoopPtr m_loop;
};

} // namespace sardinerun::runtime

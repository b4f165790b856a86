#pragma once

#include "runtime/iloop.h"

#include <functional>
#include <memory>
#include <type_traits>
#include <utility>

namespace sardinerun::runtime {

//! Takes messages of one type, one at a time, on the thread of its loop.
template <class Message> class IReceiver {
public:
    virtual ~IReceiver() = default;
    virtual void receive(Message message) = 0;
};

//! Where to send messages for a task. Copies are cheap; sending is allowed from any thread.
template <class Message> class Address {
public:
    Address() = default;
    Address(ILoopPtr loop, std::weak_ptr<IReceiver<Message>> receiver)
        : m_loop(std::move(loop))
        , m_receiver(std::move(receiver))
    {
    }

    //! Queues a message. A message for a task that has ended is dropped.
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

//! Carries one answer back to the task that asked, on that task's loop. Only the first answer counts.
template <class Answer> class Reply {
public:
    Reply() = default;
    Reply(ILoopPtr loop, std::function<void(Answer)> function)
        : m_loop(std::move(loop))
        , m_function(std::move(function))
    {
    }

    void send(Answer answer)
    {
        if (!m_function)
            return;
        m_loop->post([function = std::exchange(m_function, nullptr), answer = std::move(answer)]() mutable {
            function(std::move(answer));
        });
    }

private:
    ILoopPtr m_loop;
    std::function<void(Answer)> m_function;
};

//! Base of a task: owns its state, lives on one loop, is reached only by messages.
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

    //! A reply that runs `function` here, unless the task has ended by then.
    template <class Answer, class Function> Reply<Answer> replyHere(Function function)
    {
        auto self = this->weak_from_this();
        return Reply<Answer>(m_loop, [self, function = std::move(function)](Answer answer) mutable {
            if (auto keep = self.lock())
                function(std::move(answer));
        });
    }

    //! Runs `function` here every `period`, until the task ends.
    void every(core::Duration period, std::function<void()> function)
    {
        m_loop->callAfter(period, [self = this->weak_from_this(), period, function = std::move(function)] {
            auto keep = self.lock();
            if (!keep)
                return;
            function();
            keep->every(period, function);
        });
    }

private:
    ILoopPtr m_loop;
};

} // namespace sardinerun::runtime

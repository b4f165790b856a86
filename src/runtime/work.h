#pragma once

#include <memory>
#include <utility>

namespace sardinerun::runtime {

//! Move-only callable without parameters, run at most once. It may capture values that cannot be copied.
class Work {
public:
    Work() = default;
    template <class Function>
    Work(Function function) // NOLINT(google-explicit-constructor): call sites pass lambdas
        : m_body(std::make_unique<Body<Function>>(std::move(function)))
    {
    }

    void operator()() { m_body->run(); }
    explicit operator bool() const { return m_body != nullptr; }

private:
    struct IBody {
        virtual ~IBody() = default;
        virtual void run() = 0;
    };
    template <class Function> struct Body : IBody {
        explicit Body(Function it)
            : function(std::move(it))
        {
        }
        void run() override { function(); }
        Function function;
    };

    std::unique_ptr<IBody> m_body;
};

} // namespace sardinerun::runtime

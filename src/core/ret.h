#pragma once

#include <optional>
#include <utility>
#include <variant>

namespace sardinerun::core {

//! Wraps an error, so that a function can return it in place of a value.
template <class Error> struct Failure {
    Error error;
};

template <class Error> Failure(Error) -> Failure<Error>;

//! Result of an operation that returns a value or fails with an error of its layer.
template <class Value, class Error> class RetVal {
public:
    RetVal(Value value) // NOLINT(google-explicit-constructor): lets factories return the value without wrapping it
        : m_state(std::in_place_index<0>, std::move(value))
    {
    }
    RetVal(Failure<Error> failure) // NOLINT(google-explicit-constructor)
        : m_state(std::in_place_index<1>, std::move(failure.error))
    {
    }

    explicit operator bool() const { return m_state.index() == 0; }
    Value& value() { return std::get<0>(m_state); }
    const Value& value() const { return std::get<0>(m_state); }
    const Error& error() const { return std::get<1>(m_state); }

private:
    std::variant<Value, Error> m_state;
};

//! Result of an operation that returns no value or fails with an error of its layer.
template <class Error> class Ret {
public:
    Ret() = default;
    Ret(Failure<Error> failure) // NOLINT(google-explicit-constructor)
        : m_error(std::move(failure.error))
    {
    }

    explicit operator bool() const { return !m_error; }
    const Error& error() const { return *m_error; }

private:
    std::optional<Error> m_error;
};

} // namespace sardinerun::core

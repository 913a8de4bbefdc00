#pragma once

#include <chrono>
#include <compare>
#include <optional>
#include <string>
#include <type_traits>
#include <utility>
#include <variant>

#include <boost/leaf/error.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <boost/leaf/result.hpp>

#include "persimmonlb/base/resultcode.h"

namespace persimmonlb
{

/// A failure: a numbered code and a message for a person.
///
/// `run` is the code's usual run state unless the place that failed knows better.
struct Error {
    ResultCode code = ResultCode::Internal;
    std::string message;
    std::optional<std::chrono::milliseconds> retryAfter;
    std::optional<RunState> run;

    [[nodiscard]] RunState runState() const
    {
        return run.value_or(describe(code).run);
    }
    bool operator==(const Error &) const = default;
};

/// Result of a synchronous operation. The error travels by Boost.LEAF.
template <typename T>
using Result = boost::leaf::result<T>;

/// Starts a failure: `return fail(ResultCode::NotFound, "no job " + id);`
inline boost::leaf::error_id fail(ResultCode code, std::string message)
{
    return boost::leaf::new_error(Error{code, std::move(message), std::nullopt, std::nullopt});
}

/// Starts a failure from a complete error.
inline boost::leaf::error_id fail(Error error)
{
    return boost::leaf::new_error(std::move(error));
}

/// A value or an Error, by value: for callbacks and messages, where no LEAF handler is on the
/// stack.
///
/// Example:
///   Outcome<int> outcome = capture([&] { return parse(text); });
///   if (!outcome.ok()) { log(outcome.error()); }
template <typename T>
class [[nodiscard]] Outcome
{
public:
    Outcome(T value) // NOLINT: implicit on purpose, as for std::optional
        : state_(std::move(value))
    {
    }
    Outcome(Error error) // NOLINT: implicit on purpose
        : state_(std::move(error))
    {
    }

    [[nodiscard]] bool ok() const
    {
        return std::holds_alternative<T>(state_);
    }
    /// Requires ok().
    [[nodiscard]] const T &value() const
    {
        return std::get<T>(state_);
    }
    /// Requires ok().
    [[nodiscard]] T &value()
    {
        return std::get<T>(state_);
    }
    /// Requires !ok().
    [[nodiscard]] const Error &error() const
    {
        return std::get<Error>(state_);
    }
    bool operator==(const Outcome &) const = default;

private:
    std::variant<T, Error> state_;
};

/// Value of an Outcome that carries nothing.
struct Done {
    bool operator==(const Done &) const = default;
};

namespace internal
{
template <typename T>
struct CapturedValue {
    using Type = T;
};
template <>
struct CapturedValue<void> {
    using Type = Done;
};
} // namespace internal

/// Runs `operation`, which returns Result<T>, and returns its value or error by value.
/// A Result<void> becomes an Outcome<Done>.
template <typename Operation>
auto capture(Operation &&operation)
{
    using Value = std::decay_t<decltype(operation().value())>;
    using Captured = typename internal::CapturedValue<Value>::Type;
    return boost::leaf::try_handle_all(
        [&]() -> Result<Outcome<Captured>> {
            auto result = operation();
            if (!result) {
                return result.error();
            }
            if constexpr (std::is_void_v<Value>) {
                return Outcome<Captured>(Done{});
            } else {
                return Outcome<Captured>(std::move(result).value());
            }
        },
        [](Error error) { return Outcome<Captured>(std::move(error)); },
        [] {
            return Outcome<Captured>(
                Error{ResultCode::Internal, "unnamed error", std::nullopt, std::nullopt});
        });
}

/// Shorthand for an Error without a retry time.
inline Error makeError(ResultCode code, std::string message)
{
    return Error{code, std::move(message), std::nullopt, std::nullopt};
}

} // namespace persimmonlb

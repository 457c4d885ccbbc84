#pragma once

#include <base/failure.hpp>

#include <boost/leaf.hpp>

#include <utility>
#include <variant>

namespace berylhill::base
{

/// What a function that may fail returns; propagate it with BOOST_LEAF_AUTO
/// and BOOST_LEAF_CHECK.
template <class T>
using result = boost::leaf::result<T>;

/// An error of this code, to return from a function with a `result`.
[[nodiscard]] inline boost::leaf::error_id
fail(failure_code code, std::string message, double retry_after_s = 0)
{
    return boost::leaf::new_error(
        failure{code, std::move(message), retry_after_s});
}

[[nodiscard]] inline boost::leaf::error_id fail(failure it)
{
    return boost::leaf::new_error(std::move(it));
}

/// A finished computation: its value, or the failure that ended it. Used where
/// an error has to cross a thread or a process, which LEAF's context cannot.
template <class T>
class outcome
{
public:
    outcome(T value)
        : m_state{std::move(value)}
    {
    }

    outcome(failure it)
        : m_state{std::move(it)}
    {
    }

    [[nodiscard]] bool has_value() const noexcept
    {
        return m_state.index() == 0;
    }

    explicit operator bool() const noexcept
    {
        return has_value();
    }

    /// Precondition: `has_value()`.
    [[nodiscard]] T const& value() const
    {
        return std::get<0>(m_state);
    }

    /// Precondition: `has_value()`.
    [[nodiscard]] T& value()
    {
        return std::get<0>(m_state);
    }

    /// Precondition: not `has_value()`.
    [[nodiscard]] failure const& error() const
    {
        return std::get<1>(m_state);
    }

    /// Back to a `result`, to be propagated on this thread.
    [[nodiscard]] result<T> as_result() const
    {
        if (has_value())
        {
            return value();
        }
        return fail(error());
    }

private:
    std::variant<T, failure> m_state;
};

/// Takes the place of `void` in an `outcome`.
struct done
{
    friend bool operator==(done const&, done const&) = default;
};

/// Runs `function`, which returns `result<T>`, and catches its failure as a
/// value. Exceptions that libraries throw inside become `outcome_unknown`, so
/// none crosses a module.
template <class Function>
[[nodiscard]] auto capture(Function&& function)
    -> outcome<std::decay_t<decltype(function().value())>>
{
    using value_type = std::decay_t<decltype(function().value())>;
    using outcome_type = outcome<value_type>;
    return boost::leaf::try_catch(
        [&]() -> outcome_type
        {
            return boost::leaf::try_handle_all(
                [&]() -> result<outcome_type>
                {
                    BOOST_LEAF_AUTO(value, std::forward<Function>(function)());
                    return outcome_type{std::move(value)};
                },
                [](failure const& it) { return outcome_type{it}; },
                []
                {
                    return outcome_type{failure{failure_code::outcome_unknown,
                                                "unnamed error", 0}};
                });
        },
        [](std::exception const& it) {
            return outcome_type{
                failure{failure_code::outcome_unknown, it.what(), 0}};
        },
        []
        {
            return outcome_type{
                failure{failure_code::outcome_unknown, "unnamed exception", 0}};
        });
}

} // namespace berylhill::base

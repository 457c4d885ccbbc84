#pragma once

#include <base/result.hpp>
#include <base/time.hpp>

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <utility>

namespace berylhill::entry
{

/// Carries one answer from an actor to a thread that waits for it. Shared by
/// the two ends. Thread-safe.
template <class T>
class reply
{
public:
    reply() = default;
    reply(reply const&) = delete;
    reply& operator=(reply const&) = delete;
    ~reply() = default;

    /// Returns false when the waiting thread has given up: the answer reaches
    /// nobody, and the actor has to undo what it stands for.
    bool set(base::outcome<T> it)
    {
        std::lock_guard const lock{m_mutex};
        if (m_given_up)
        {
            return false;
        }
        m_answer.emplace(std::move(it));
        m_came.notify_one();
        return true;
    }

    /// Waits for the answer; empty when it did not come within `timeout`, and
    /// then `set` returns false ever after.
    [[nodiscard]] std::optional<base::outcome<T>> wait(base::duration timeout)
    {
        std::unique_lock lock{m_mutex};
        m_came.wait_for(lock, timeout, [this] { return m_answer.has_value(); });
        if (!m_answer)
        {
            m_given_up = true;
        }
        return std::exchange(m_answer, std::nullopt);
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_came;
    std::optional<base::outcome<T>> m_answer;
    bool m_given_up{false};
};

/// When a request to an actor takes effect.
enum class effect : std::uint8_t
{
    with_answer,   ///< In the step that sets the answer.
    before_answer, ///< For example in an append whose outcome is the answer.
};

/// The failure of a request to a unit's actor that ended without an answer, as
/// the unit changed hands.
[[nodiscard]] inline base::failure failure_when_gone(std::string const& unit,
                                                     effect it)
{
    auto const code = it == effect::with_answer
                          ? base::failure_code::superseded
                          : base::failure_code::outcome_unknown;
    return {code, unit + " has changed hands", 0};
}

/// The actor's end of a `reply`: the last copy that goes without an answer
/// says that the actor is gone, so that nobody waits for its deadline.
template <class T>
class reply_promise
{
public:
    /// `gone` is what the waiting thread gets when no answer is set.
    reply_promise(std::shared_ptr<reply<T>> target, base::failure gone)
        : m_guard{std::make_shared<guard>(std::move(target), std::move(gone))}
    {
    }

    bool set(base::outcome<T> it) const
    {
        m_guard->answered = true;
        return m_guard->target->set(std::move(it));
    }

private:
    struct guard
    {
        guard(std::shared_ptr<reply<T>> to, base::failure otherwise)
            : target{std::move(to)}
            , gone{std::move(otherwise)}
        {
        }
        ~guard()
        {
            if (!answered)
            {
                target->set(gone);
            }
        }
        guard(guard const&) = delete;
        guard& operator=(guard const&) = delete;

        std::shared_ptr<reply<T>> target;
        base::failure gone;
        bool answered{false};
    };

    std::shared_ptr<guard> m_guard;
};

} // namespace berylhill::entry

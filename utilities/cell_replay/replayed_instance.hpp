#pragma once

#include <scheduler/orders.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace berylhill::cell_replay
{

/// An instance of the replayed cell: what runs there, what has ended and has
/// not been acknowledged. It takes orders as the users' instances do, but for
/// leases: none lapses in a replay. Not thread-safe.
class replayed_instance
{
public:
    struct run
    {
        scheduler::attempt_name attempt;
        base::instant began{};
        /// How long it works, from when; nothing while a gang is not whole.
        std::optional<base::duration> takes;
        base::instant works_from{};
        /// Saved by earlier runs, seconds of work.
        double saved_s{0};
    };

    replayed_instance(std::string id, double speed)
        : m_id{std::move(id)}
        , m_speed{speed}
    {
    }

    [[nodiscard]] std::string const& id() const noexcept
    {
        return m_id;
    }

    [[nodiscard]] double speed() const noexcept
    {
        return m_speed;
    }

    [[nodiscard]] std::map<scheduler::attempt_name, run> const&
    running() const noexcept
    {
        return m_running;
    }

    [[nodiscard]] bool listed_ends() const noexcept
    {
        return !m_ended.empty();
    }

    /// False where that run is there already or has ended.
    bool start(scheduler::start_order const& it, base::instant now);

    /// Precondition: it runs here.
    void set_to_work(scheduler::attempt_name const& it,
                     base::duration takes,
                     base::instant now);

    /// What it ran; nothing where it does not run that.
    std::optional<run> end(scheduler::attempt_name const& it,
                           scheduler::end_reason reason,
                           std::string const& checkpoint);

    /// Ends up to this number need not be listed again.
    void acknowledge(std::uint64_t number);

    /// What runs and what ended.
    [[nodiscard]] scheduler::hold_report report(base::instant now) const;

private:
    std::string m_id;
    double m_speed;
    std::map<scheduler::attempt_name, run> m_running;
    std::vector<scheduler::ended_attempt_report> m_ended;
    std::map<workload::task_name, std::uint32_t> m_last_run;
    std::uint64_t m_next_end{1};
};

} // namespace berylhill::cell_replay

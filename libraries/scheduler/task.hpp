#pragma once

#include <scheduler/loss_count.hpp>
#include <scheduler/unconfirmed_loss.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace berylhill::scheduler
{

enum class task_phase : std::uint8_t
{
    waiting,
    /// An attempt may be running.
    placed,
    done,
};

/// One task of a step.
struct task
{
    task_phase phase{task_phase::waiting};
    /// The number of its last attempt; 0 if there was none.
    std::uint32_t run{0};
    std::uint32_t failures{0};
    /// The checkpoint that the next attempt resumes from.
    std::string checkpoint;
    /// The instance of the last attempt.
    std::string instance;
    loss_count lost;
    /// The numbers of the attempts in `failures`. A record of an older version
    /// has none, and then they are fewer.
    std::vector<std::uint32_t> failed_runs;
    /// Those in `lost` whose instances may not have crashed.
    std::vector<unconfirmed_loss> unconfirmed_losses;

    /// Whether the failure of an attempt that is not the current one is
    /// certainly not in `failures` yet: an instance repeats an end until it is
    /// acknowledged, to the next owner too.
    [[nodiscard]] bool failure_is_new(std::uint32_t number) const;

    /// Counts the end of attempt `number` on the instance `on`.
    void count_end(std::uint32_t number,
                   std::string const& on,
                   ended_attempt const& it,
                   policy const& rules);

    /// The number of losses that are unconfirmed on the instance.
    [[nodiscard]] std::size_t unconfirmed_on(std::string const& at) const;

    /// The instance was alive when its lease had expired: takes its
    /// unconfirmed losses out of the count.
    void withdraw_losses(std::string const& at);

    friend bool operator==(task const&, task const&) = default;
};

} // namespace berylhill::scheduler
